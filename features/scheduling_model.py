"""Independent model of the scheduling rules for property tests.

The model keeps plain lists and evaluates the rules by full scans. The scheduler
writes each decision to its log, and the model checks the decision as it is
written.
"""

import dataclasses
from typing import Any

from features.scheduling_builders import build_scheduler, build_ticket
from features.scheduling_fakes import RecordingDecisions
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_class import WorkClass

AGING_STEP_S = 10
WORKSPACE_LIMIT_COUNT = 2


@dataclasses.dataclass(eq=False)
class ModelWork:
    """One piece of work with its state in the model.

    Attributes
    ----------
    name
        Serial number, which increases with each arrival.
    keeps_connection
        Whether the work is parked when it ends, with its connection.
    work
        State of the same work in the scheduler.
    """

    name: str
    rank: int
    deadline_s: float
    workspace: str
    is_long: bool
    duration_s: float
    arrived_s: float
    keeps_connection: bool = False
    ends_s: float = 0
    work: ScheduledWork | None = None

    def key(self, now_s: float) -> tuple[float, float, int]:
        """Return the position in the order of service, including aging."""
        raised_count = int((now_s - self.arrived_s) // AGING_STEP_S)
        due_s = self.deadline_s
        if raised_count and self.rank > 0:
            due_s = min(due_s, self.arrived_s + AGING_STEP_S)
        return (max(0, self.rank - raised_count), due_s, int(self.name))


class SchedulingModel:
    """Drives a scheduler and checks each of its decisions."""

    def __init__(self, slot_count: int, connection_limit_count: int) -> None:
        """Create a model and a scheduler without work."""
        self.now_s: float = 1000
        self.slot_count = slot_count
        self.decisions = RecordingDecisions()
        self.decisions.record = self._check_decision  # type: ignore[method-assign]
        self.scheduler = build_scheduler(
            self.decisions, slot_count, connection_limit_count
        )
        self.connection_cap_count = self.scheduler.capacity.connection_cap_count
        self.waiting: dict[str, ModelWork] = {}
        self.running: dict[str, ModelWork] = {}
        self.parked: list[ModelWork] = []
        self.started: set[str] = set()

    def arrive(self, model_work: ModelWork) -> None:
        """Offer new work to the scheduler."""
        ticket = build_ticket(
            model_work.name,
            work_class=tuple(WorkClass)[model_work.rank],
            deadline_s=model_work.deadline_s,
            workspace=model_work.workspace,
            is_long=model_work.is_long,
            connection_limit_count=WORKSPACE_LIMIT_COUNT,
        )
        claim = (
            WorkClaim.KEEPING
            if model_work.keeps_connection
            else WorkClaim.SINGLE
        )
        self.waiting[model_work.name] = model_work
        model_work.work = self.scheduler.offer(ticket, claim, self.now_s)
        self.check_limits()

    def cancel(self, model_work: ModelWork) -> None:
        """Abandon waiting or running work, as when its caller leaves."""
        self.waiting.pop(model_work.name, None)
        self.running.pop(model_work.name, None)
        self.scheduler.abandon(self._work(model_work), self.now_s)
        self.check_limits()

    def advance(self, end_s: float) -> None:
        """Advance the time, finish work and call the scheduler when due."""
        while self._next_s() <= end_s:
            self.now_s = max(self.now_s, self._next_s())
            ended = [
                work
                for work in self.running.values()
                if work.ends_s <= self.now_s
            ]
            if not ended:
                self.scheduler.advance(self.now_s)
            for work in ended:
                self._end(work)
            self.check_limits()
        self.now_s = end_s

    def unpark(self) -> None:
        """End the oldest parked transaction."""
        if self.parked:
            work = self._work(self.parked.pop(0))
            self.scheduler.finish(None, work, self.now_s)
            self.check_limits()

    def check_limits(self) -> None:
        """Check that no eligible work waits and that no limit is exceeded."""
        assert not self._eligible(), self._eligible()
        assert len(self.running) <= self.slot_count
        assert self._long_count() <= max(1, self.slot_count - 1)
        held = (*self.running.values(), *self.parked)
        assert len(held) <= self.connection_cap_count
        keeping_count = sum(work.keeps_connection for work in held)
        assert keeping_count <= max(
            1, self.connection_cap_count - self.slot_count
        )

    def _end(self, ended: ModelWork) -> None:
        self.running.pop(ended.name)
        work = self._work(ended)
        if ended.keeps_connection:
            self.parked.append(ended)
        self.scheduler.finish(
            work,
            None if ended.keeps_connection else work,
            self.now_s,
        )

    def _work(self, model_work: ModelWork) -> ScheduledWork:
        assert model_work.work is not None
        return model_work.work

    def _next_s(self) -> float:
        times_s = [work.ends_s for work in self.running.values()]
        change_s = self.scheduler.next_change_s
        if change_s is not None:
            times_s.append(change_s)
        return min(times_s, default=float('inf'))

    def _check_decision(self, decision: str, reason: str, **line: Any) -> None:
        name = line['request_id']
        chosen = self.waiting.get(name)
        if decision == 'slot_granted':
            assert chosen is not None, f'{name} got a slot but does not wait'
            eligible = self._eligible()
            assert chosen in eligible, f'{name} must not start'
            first = min(eligible, key=lambda work: work.key(self.now_s))
            assert chosen is first, f'{name} started before {first.name}'
            chosen.ends_s = self.now_s + chosen.duration_s
            self.running[name] = chosen
            self.started.add(name)
        elif reason in {'deadline_exceeded', 'workspace_limit'}:
            assert chosen is not None
            assert chosen.deadline_s <= self.now_s, (
                f'{name} was refused before its deadline'
            )
        self.waiting.pop(name, None)

    def _eligible(self) -> list[ModelWork]:
        return [work for work in self.waiting.values() if self._may_start(work)]

    def _may_start(self, work: ModelWork) -> bool:
        held = (*self.running.values(), *self.parked)
        workspace_count = sum(
            other.workspace == work.workspace for other in held
        )
        keeping_count = sum(other.keeps_connection for other in held)
        if work.keeps_connection and keeping_count >= max(
            1, self.connection_cap_count - self.slot_count
        ):
            return False
        if (
            len(held) >= self.connection_cap_count
            or workspace_count >= WORKSPACE_LIMIT_COUNT
        ):
            return False
        is_expired = work.deadline_s <= self.now_s
        return not is_expired and self._has_slot(work)

    def _has_slot(self, work: ModelWork) -> bool:
        free_count = self.slot_count - len(self.running)
        if not work.is_long:
            return free_count > 0
        long_free_count = max(1, self.slot_count - 1) - self._long_count()
        return free_count > 0 and long_free_count > 0

    def _long_count(self) -> int:
        return sum(work.is_long for work in self.running.values())
