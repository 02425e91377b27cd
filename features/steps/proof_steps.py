"""Steps of proof.feature."""

import asyncio
import pathlib
import tempfile
from typing import Any, Final

import attrs
from behave import given, then, when

from features.proof_builders import GROUP, PLANTS, ProofCase
from loadtool.deployment_spec import FORGE
from loadtool.history import History
from loadtool.history_checker import check_history, count_lost
from loadtool.proof_fault import FaultKind, MetFault
from loadtool.proof_result import ProofResult
from loadtool.proof_seed import run_trial
from loadtool.violation import Rule

_SMALL: Final = attrs.evolve(FORGE, host_count=3, group_count=1)
_DURATION_S: Final = 10


@given('a proof history with the fault "{plant}"')
def plant_fault(context: Any, plant: str) -> None:
    """Change one thing in a correct history or its log."""
    context.case = ProofCase()
    PLANTS[plant](context.case)


@when('the proof history is checked')
def check(context: Any) -> None:
    """Save, load and check."""
    history = context.case.finish()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'history.jsonl'
        history.save(path)
        context.history = History.load(path)
    context.logs = {GROUP: context.case.log()}
    context.found = check_history(context.history, context.logs)


@then('the proof check finds "{rules}"')
def check_rules(context: Any, rules: str) -> None:
    """Compare the names of the violated rules."""
    names = {found.rule.name for found in context.found}
    expected = set() if rules == 'nothing' else set(rules.split())
    assert names == expected, context.found


@then('the proof check counts {count:d} lost writes')
def check_lost(context: Any, count: int) -> None:
    """Count the losses that durability primary allows."""
    assert count_lost(context.history, context.logs) == count


@given('a proof result of {count:d} writes with {taken} faults')
def build_result(context: Any, count: int, taken: str) -> None:
    """Build the result of 1 s without violations."""
    record = ProofCase().records['first']
    history = History()
    for _ in range(count):
        history.add(record)
    fault = MetFault(FaultKind.CUT_HOST, 'host-0', 0, 1, taken == 'real')
    context.result = ProofResult(
        seed=1,
        duration_s=1,
        begin_s=0,
        end_s=1,
        history=history,
        faults=() if taken == 'no' else (fault,),
        lost_count=0,
        term_counts={},
        violations=(),
        fallen=('host-0',) if taken == 'fatal' else (),
    )


@then('the proof result is "{verdict}"')
def check_verdict(context: Any, verdict: str) -> None:
    """Compare the verdict, and that the report gives the reason."""
    is_passed = verdict == 'passed'
    assert context.result.is_passed == is_passed
    text = '\n'.join(context.result.lines())
    assert ('NOTHING PROVED' in text) != is_passed, text


@when('a proof run with seed {seed:d} meets the faults "{kinds}"')
def run_seed(context: Any, seed: int, kinds: str) -> None:
    """Run real processes behind the fault proxy."""
    faults = tuple(map(FaultKind, kinds.split()))
    context.result = asyncio.run(
        run_trial(_SMALL, seed, _DURATION_S, faults),
    )


@then('the proof run finds no violation')
def check_run(context: Any) -> None:
    """Show the whole report when it failed."""
    report = '\n'.join(context.result.lines())
    assert not context.result.violations, report
    assert not context.result.missing_proof, report


@then('the proof rules are all planted but "{rules}"')
def check_coverage(context: Any, rules: str) -> None:
    """Check that no rule of the checker goes untested."""
    planted: set[str] = set()
    for plant in PLANTS.values():
        case = ProofCase()
        plant(case)
        found = check_history(case.finish(), {GROUP: case.log()})
        planted.update(one.rule.name for one in found)
    assert set(Rule.__members__) - planted == set(rules.split())
