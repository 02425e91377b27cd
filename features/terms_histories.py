"""Property test: acknowledged writes survive failures and run once.

Random sequences of writes, settlements, promotions and failures are run, and
the outcomes are compared with the data of the last primary.
"""

import asyncio
import itertools
from collections import defaultdict
from typing import Any, Final, final

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from features.terms_world import GROUP, NAMES, World, request_id
from mimosapond.completed import Completed
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused

_EXAMPLE_COUNT: Final = 150
_MAX_STEP_COUNT: Final = 25
_LAST_ATTEMPT_COUNT: Final = 5
_DEADLINE_MS: Final = 500
_HOSTS: Final = tuple(f'h{name}' for name in NAMES)
_MEMBERS: Final = tuple(f'm{name}' for name in NAMES)
_LABELS: Final = tuple('abcd')
_PAUSES_S: Final = (0, 0.001, 0.004, 0.03, 0.4)
_LAGS_S: Final = (0, 0.01, 0.5)
_ACTIONS: Final = (
    *('write', 'write', 'write', 'settle'),
    *('promote', 'keep', 'cut', 'cut_host', 'heal', 'lag', 'lose', 'link'),
)


@final
@attrs.frozen
class Step:
    """One action and its operands, of which each action uses some."""

    action: str
    host: str
    member: str
    label: str
    lag_s: float
    pause_s: float


_STEPS: Final = st.lists(
    st.builds(
        Step,
        st.sampled_from(_ACTIONS),
        st.sampled_from(_HOSTS),
        st.sampled_from(_MEMBERS),
        st.sampled_from(_LABELS),
        st.sampled_from(_LAGS_S),
        st.sampled_from(_PAUSES_S),
    ),
    min_size=5,
    max_size=_MAX_STEP_COUNT,
)


@final
class History:
    """A sequence of writes and failures, with the outcomes of the requests."""

    def __init__(self, seed: int) -> None:
        """Start with a holder of the first term."""
        self.world = World(seed)
        self.outcomes: defaultdict[str, list[Any]] = defaultdict(list)
        self.settled: defaultdict[str, list[Any]] = defaultdict(list)
        assert self.world.acquire_term('h1', 'm1')

    def apply(self, step: Step) -> None:
        """Run one step and let some time pass."""
        match step.action:
            case 'write' | 'settle':
                self._request(step)
            case 'promote' | 'keep':
                keep = step.member if step.action == 'keep' else None
                acquirer = self.world.hosts[step.host].acquirer
                self.world.start(acquirer.acquire(GROUP, keep=keep))
            case 'heal':
                self.world.remove_faults()
            case _:
                self._apply_fault(step)
        self.world.wait(step.pause_s)

    def finish(self) -> None:
        """Remove all faults, await all outcomes and acquire a last term."""
        self.world.remove_faults()
        started = (*self.outcomes.values(), *self.settled.values())
        tasks = list(itertools.chain.from_iterable(started))
        if tasks:
            self.world.run(asyncio.wait(tasks))
        self.world.wait(1)
        is_led = any(
            self.world.acquire_term('h1', None)
            for _ in range(_LAST_ATTEMPT_COUNT)
        )
        assert is_led, 'no term could be acquired after the faults ended'

    def check(self) -> int:
        """Compare the outcomes with the data of the last primary.

        Returns
        -------
        int
            Number of requests that completed.
        """
        completed_count = 0
        for label, tasks in self.outcomes.items():
            outcomes = [task.result() for task in tasks]
            settled = [task.result() for task in self.settled[label]]
            count = self.world.count_notes(label)
            assert count <= 1, (label, count)
            if any(_is_completed(outcome) for outcome in outcomes + settled):
                completed_count += 1
                assert count == 1, (label, outcomes, settled)
            if all(isinstance(outcome, Refused) for outcome in outcomes):
                assert count == 0, (label, outcomes, settled)
            if any(_is_cancelled(answer) for answer in outcomes + settled):
                assert count == 0, (label, outcomes, settled)
        return completed_count

    def _apply_fault(self, step: Step) -> None:
        member = self.world.members[step.member]
        match step.action:
            case 'cut':
                self.world.cut(step.member)
            case 'cut_host':
                member.cut_hosts.add(step.host)
            case 'lag':
                member.lag_s = step.lag_s
            case 'lose':
                member.loses_commit_answer = True
            case 'link':
                member.silent_links.add(step.host)

    def _request(self, step: Step) -> None:
        holder = self.world.hosts[step.host].holder
        if holder is None:
            return
        label = step.label
        if step.action == 'write':
            task = self.world.start(self.world.write(step.host, label))
            self.outcomes[label].append(task)
            return
        identity = request_id(self.world, label)
        task = self.world.start(holder.settle(identity, _DEADLINE_MS))
        self.settled[label].append(task)


def _is_completed(outcome: Outcome) -> bool:
    return isinstance(outcome, Completed)


def _is_cancelled(outcome: Outcome) -> bool:
    if not isinstance(outcome, Refused):
        return False
    return outcome.reason is RefusalReason.REQUEST_CANCELLED


@settings(
    derandomize=True,
    max_examples=_EXAMPLE_COUNT,
    deadline=None,
    database=None,
)
@given(st.integers(0, _EXAMPLE_COUNT), _STEPS)
def _run_history(counts: list[int], seed: int, steps: list[Step]) -> None:
    history = History(seed)
    try:
        counts.append(_run_steps(history, steps))
    finally:
        history.world.close()


def _run_steps(history: History, steps: list[Step]) -> int:
    for step in steps:
        history.apply(step)
    history.finish()
    return history.check()


def check_histories() -> int:
    """Run the property test; return how many requests completed in all."""
    counts: list[int] = []
    _run_history(counts)
    return sum(counts)
