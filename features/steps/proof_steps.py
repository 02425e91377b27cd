"""Steps of proof.feature."""

import asyncio
import pathlib
import tempfile
from typing import Any, Final

import attrs
from behave import given, then, when

from features.proof_builders import GROUP, SAMPLE_VIOLATIONS, SampleRun
from loadtool.deployment_spec import FORGE
from loadtool.history import History
from loadtool.history_checker import check_history, count_lost
from loadtool.proof_fault import FaultKind, InjectedFault
from loadtool.proof_result import ProofResult
from loadtool.proof_seed import run_trial
from loadtool.violation import Rule

_SMALL_DEPLOYMENT: Final = attrs.evolve(FORGE, host_count=3, group_count=1)
_DURATION_S: Final = 10


@given('a run history with the violation "{name}"')
def build_history(context: Any, name: str) -> None:
    """Modify a correct history or its log with the named violation."""
    context.sample = SampleRun()
    SAMPLE_VIOLATIONS[name](context.sample)


@when('the run history is checked')
def check_run_history(context: Any) -> None:
    """Check the history after it was saved and loaded."""
    history = context.sample.finish()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'history.jsonl'
        history.save(path)
        context.history = History.load(path)
    context.logs = {GROUP: context.sample.log()}
    context.found = check_history(context.history, context.logs)


@then('the history checker reports "{rules}"')
def check_rules(context: Any, rules: str) -> None:
    """Compare the names of the violated rules with the expected ones."""
    names = {found.rule.name for found in context.found}
    expected = set() if rules == 'nothing' else set(rules.split())
    assert names == expected, context.found


@then('the history checker counts {count:d} lost writes')
def check_lost(context: Any, count: int) -> None:
    """Compare the number of losses that durability primary allows."""
    assert count_lost(context.history, context.logs) == count


@given('a run result with {count:d} writes and {taken} faults')
def build_result(context: Any, count: int, taken: str) -> None:
    """Build the result of a run of 1 s without violations."""
    record = SampleRun().records['first']
    history = History()
    for _ in range(count):
        history.add(record)
    fault = InjectedFault(FaultKind.CUT_HOST, 'host-0', 0, 1, taken == 'real')
    context.result = ProofResult(
        seed=1,
        duration_s=1,
        begin_s=0,
        end_s=1,
        history=history,
        faults=() if taken == 'no' else (fault,),
        lost_count=0,
        newest_terms={},
        violations=(),
        unexpected_exits=('host-0',) if taken == 'fatal' else (),
    )


@then('the verdict on the run is "{verdict}"')
def check_verdict(context: Any, verdict: str) -> None:
    """Check the verdict and whether the report calls the run inconclusive."""
    is_passed = verdict == 'passed'
    assert context.result.is_passed == is_passed
    text = '\n'.join(context.result.lines())
    assert ('NOTHING PROVED' in text) != is_passed, text


@when('a proof run with seed {seed:d} injects the faults "{kinds}"')
def run_seed(context: Any, seed: int, kinds: str) -> None:
    """Run one seed with real processes behind the fault proxy."""
    faults = tuple(map(FaultKind, kinds.split()))
    context.result = asyncio.run(
        run_trial(_SMALL_DEPLOYMENT, seed, _DURATION_S, faults),
    )


@then('the proof run reports no violation')
def check_run(context: Any) -> None:
    """Check that the run passed; the message is the whole report."""
    report = '\n'.join(context.result.lines())
    assert not context.result.violations, report
    assert not context.result.inconclusive_reason, report


@then(
    'the sample violations cover all rules except "{rules}"',
)
def check_coverage(context: Any, rules: str) -> None:
    """Check that only ``rules`` lack a sample violation."""
    covered: set[str] = set()
    for add_violation in SAMPLE_VIOLATIONS.values():
        sample = SampleRun()
        add_violation(sample)
        found = check_history(sample.finish(), {GROUP: sample.log()})
        covered.update(one.rule.name for one in found)
    assert set(Rule.__members__) - covered == set(rules.split())
