"""Admits statements to one member: its queue and its concurrency limit."""

import asyncio
import random
from typing import Final, TypeAlias, final

from mimosapond.boot_clock import Now
from mimosapond.groups.admission_permit import Permit, PermitState
from mimosapond.groups.admission_queue import AdmissionEntry, AdmissionQueue
from mimosapond.groups.admission_request import (
    AdmissionRequest,
    NotAdmitted,
    RefusalCause,
)
from mimosapond.groups.admission_report import AdmissionReport
from mimosapond.groups.concurrency_limit import ConcurrencyLimit, Response
from mimosapond.groups.member_load import MemberLoad

# Bound of the waiting requests. Deadlines limit their number far below it, unless
# statements are much shorter than their timeout.
_MAX_QUEUE_LENGTH_COUNT: Final = 128
# Range of the retry times. A shorter one would bring callers back before
# anything has changed, and after a longer one an estimate has no worth.
_MIN_RETRY_S: Final = 0.05
_MAX_RETRY_S: Final = 2.0
_MS_PER_S: Final = 1000

Admission: TypeAlias = Permit | NotAdmitted


@final
class MemberAdmission:
    """Queue and concurrency limit of one member at this host.

    Probes, control requests, COMMIT and ROLLBACK do not ask for admission; they
    count as in flight, since the load of the member contains them.
    """

    def __init__(
        self,
        member_id: str,
        limit: ConcurrencyLimit,
        load: MemberLoad,
        now: Now,
    ) -> None:
        """Start with an empty queue.

        Parameters
        ----------
        load
            Contains all requests that are in flight at the member.
        """
        self.limit = limit
        self._load = load
        self._now = now
        self._queue = AdmissionQueue(_MAX_QUEUE_LENGTH_COUNT)
        self._futures: dict[AdmissionEntry, asyncio.Future[Admission]] = {}
        self._borrowing_count = 0
        self._sent_count = 0
        self._report = AdmissionReport(member_id, now)
        load.on_finish = self._admit_waiting

    @property
    def in_flight_count(self) -> int:
        """Statements and other requests in flight, or about to be sent."""
        sent_count = max(self._sent_count, self._load.in_flight_count)
        return sent_count + self._borrowing_count

    @property
    def waiting_count(self) -> int:
        """Number of requests in the queue."""
        return len(self._queue)

    @property
    def admits_now(self) -> bool:
        """Whether new work would be admitted without a wait."""
        return not self.waiting_count and self._has_room()

    async def admit(self, request: AdmissionRequest) -> Admission:
        """Wait until a statement may be sent.

        Returns
        -------
        Permit | NotAdmitted
            A permit, which the caller returns in any case; a refusal at once
            if the deadline can not be met, and otherwise at the deadline or as
            soon as the member turns out to be unreachable.
        """
        self._admit_waiting()
        if self._has_room(is_in_transaction=request.is_in_transaction):
            return self._grant(request)
        entry = AdmissionEntry(
            request, self._now(), self.limit.expected_s(request.statement_class)
        )
        refusal = self._enqueue(entry)
        if refusal is not None:
            return refusal
        future = self._futures[entry]
        try:
            await asyncio.wait(
                (future,), timeout=max(request.deadline_s - self._now(), 0)
            )
        except asyncio.CancelledError:
            self._withdraw(entry, future)
            raise
        if not future.done():
            self._refuse(entry, RefusalCause.too_late)
        return future.result()

    def refuse_waiting(self) -> None:
        """Refuse all waiting requests, as the member has no connection."""
        for entry in self._queue.pop_all():
            self._refuse(entry, RefusalCause.unreachable)

    def restart(self) -> None:
        """Refuse all waiting requests and start low, as after a crash."""
        self.limit.restart()
        self.refuse_waiting()

    def _has_room(self, *, is_in_transaction: bool = False) -> bool:
        """Return whether the limit admits another statement.

        What waits for a connection does not count for statements of open
        transactions: it may wait for the connections which these hold.
        """
        in_flight_count = self.in_flight_count
        if is_in_transaction:
            in_flight_count -= self._borrowing_count
        return in_flight_count < self.limit.count

    def _grant(self, request: AdmissionRequest) -> Permit:
        self.limit.use(self._now())
        self._borrowing_count += 1
        self._report.record_admission()
        return Permit(
            request, self._load, self._now, self._update, self._respond
        )

    def _enqueue(self, entry: AdmissionEntry) -> NotAdmitted | None:
        """Add an entry, or refuse it if it can not be served in time."""
        now_s = self._now()
        future: asyncio.Future[Admission]
        future = asyncio.get_running_loop().create_future()
        self._futures[entry] = future
        evicted = self._queue.add(entry, now_s)
        if evicted is not None:
            self._refuse(evicted, RefusalCause.queue_full)
        elif not entry.request.is_in_transaction:
            wait_s = self._expected_wait_s(entry)
            if entry.is_too_late(now_s + wait_s):
                self._refuse(entry, RefusalCause.too_late)
        if not future.done():
            return None
        outcome = future.result()
        return outcome if isinstance(outcome, NotAdmitted) else None

    def _expected_wait_s(self, entry: AdmissionEntry) -> float:
        """Return the wait for the work ahead and for what is in flight."""
        ahead_s = self._queue.work_ahead_s(entry, self._now())
        return (ahead_s + entry.expected_s) / self.limit.count

    def _refuse(self, entry: AdmissionEntry, cause: RefusalCause) -> None:
        self._queue.remove(entry)
        future = self._futures.pop(entry)
        self._report.record_refusal()
        future.set_result(NotAdmitted(cause, self._retry_after_ms(entry)))

    def _retry_after_ms(self, entry: AdmissionEntry) -> int:
        """Return a time in which about the present queue has been served.

        It is spread over a factor of two, so that callers who were refused at
        the same time do not return as one wave.
        """
        drain_s = (self.waiting_count + 1) * entry.expected_s / self.limit.count
        retry_s = min(max(drain_s, _MIN_RETRY_S), _MAX_RETRY_S)
        return round(retry_s * (1 + random.random()) * _MS_PER_S)

    def _withdraw(
        self, entry: AdmissionEntry, future: asyncio.Future[Admission]
    ) -> None:
        """Remove the entry of a caller that was cancelled."""
        self._queue.remove(entry)
        self._futures.pop(entry, None)
        if future.done():
            outcome = future.result()
            if isinstance(outcome, Permit):
                outcome.release()

    def _update(self, permit: Permit, previous: PermitState) -> None:
        """Count a permit whose state has changed."""
        if previous is PermitState.in_flight:
            self._sent_count -= 1
        else:
            self._borrowing_count -= 1
        if permit.state is PermitState.in_flight:
            self._sent_count += 1
        else:
            self._admit_waiting()

    def _respond(
        self, permit: Permit, response: Response, latency_s: float
    ) -> None:
        self.limit.record(
            response,
            permit.request.statement_class,
            latency_s,
            self.in_flight_count,
            self._now(),
        )
        self._report.record_response(response, self.limit.count)

    def _admit_waiting(self) -> None:
        """Refuse what is too late and admit what the limit allows."""
        if not self.waiting_count:
            return
        now_s = self._now()
        for late in self._queue.pop_too_late(now_s):
            self._refuse(late, RefusalCause.too_late)
        while self._has_room(is_in_transaction=True):
            entry = self._queue.pop(
                now_s, only_in_transaction=not self._has_room()
            )
            if entry is None:
                return
            self._futures.pop(entry).set_result(self._grant(entry.request))
