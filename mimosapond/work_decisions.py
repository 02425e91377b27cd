"""Writes a decision line and the metrics for each grant and refusal."""

from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.decision_log import DecisionLog
from mimosapond.metrics import Metrics
from mimosapond.refused import Refused
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_ticket import WorkTicket

_MS_DIGITS: Final = 3


@final
class WorkDecisions:
    """Records the decisions of the scheduler of one member."""

    def __init__(
        self,
        member: str,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        """Record decisions about work for ``member``."""
        self._member = member
        self._decisions = decisions
        self._metrics = metrics

    def granted(self, work: ScheduledWork, now_s: float) -> None:
        """Record that ``work`` got a slot."""
        wait_ms = _wait_ms(work, now_s)
        work_class = work.ticket.work_class
        self._metrics.count('owner.granted')
        self._metrics.timing_ms(f'owner.wait.{work_class}', wait_ms)
        self._record('slot_granted', _grant_reason(work), work, wait_ms)

    def refused(
        self, work: ScheduledWork, refusal: Refused, now_s: float
    ) -> None:
        """Record that the scheduler refused ``work``."""
        self._metrics.count(f'owner.refused.{refusal.reason}')
        self._record(
            'slot_refused', refusal.reason, work, _wait_ms(work, now_s)
        )

    def withdrawn(self, work: ScheduledWork, now_s: float) -> None:
        """Record that the caller of ``work`` left before it got a slot."""
        self._metrics.count('owner.withdrawn')
        wait_ms = _wait_ms(work, now_s)
        self._record('slot_refused', 'caller_gone', work, wait_ms)

    def refused_by_owner(self, ticket: WorkTicket, refusal: Refused) -> None:
        """Record a refusal that the scheduler did not decide.

        Such a refusal comes before the work is queued or after it got a slot,
        so its queue length and wait are recorded as 0.
        """
        self._metrics.count(f'owner.refused.{refusal.reason}')
        self._decisions.record(
            'slot_refused',
            refusal.reason,
            request_id=ticket.request_id,
            group=ticket.group,
            term=ticket.term,
            member=self._member,
            work_class=ticket.work_class,
            queue_length_count=0,
            wait_ms=0,
        )

    def _record(
        self,
        decision: str,
        reason: str,
        work: ScheduledWork,
        wait_ms: float,
    ) -> None:
        self._decisions.record(
            decision,
            reason,
            request_id=work.ticket.request_id,
            group=work.ticket.group,
            term=work.ticket.term,
            member=self._member,
            work_class=work.ticket.work_class,
            queue_length_count=work.queue_length_count,
            wait_ms=wait_ms,
        )


def _wait_ms(work: ScheduledWork, now_s: float) -> float:
    return round((now_s - work.arrived_s) * MS_PER_S, _MS_DIGITS)


def _grant_reason(work: ScheduledWork) -> str:
    if work.raised_count:
        return 'aged'
    if work.claim is WorkClaim.RESUMED:
        return 'resumed'
    if work.started_s > work.arrived_s:
        return 'first_in_queue'
    return 'slot_free'
