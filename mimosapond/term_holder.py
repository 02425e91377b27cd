"""Serves the writes and session floor queries of one group at one term.

Each term has one holder. The members check the term of every call, so it acts
as a fencing token against a replaced holder and a replaced primary alike.
"""

import functools
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.errors import refuse, unknown
from mimosapond.floor import Floor
from mimosapond.group_beacon import GroupBeacon
from mimosapond.held_term import HeldTerm
from mimosapond.holder_gate import HolderGate
from mimosapond.interactive_transactions import InteractiveTransactions
from mimosapond.invariant_error import InvariantError
from mimosapond.ledger_access import LedgerAccess
from mimosapond.ledger_sweeper import LedgerSweeper
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.running_writes import RunningWrites
from mimosapond.statement import Statement
from mimosapond.term_settler import TermSettler
from mimosapond.term_writer import TermWriter

# Deadline of a call in which the peer sent none.
_DEFAULT_DEADLINE_MS: Final = 5000
_LEAVING_RETRY_MS: Final = 1000
# Time that a begin waits during a handover of the term before it is refused.
_BEGIN_WAIT_S: Final = 1
# Time that new work waits for a change of primary or holder. It exceeds the
# time limits of two attempts at a planned switchover: with replicas that lag
# by a second, the first attempt only stops the writes.
_CHANGE_WAIT_S: Final = 4
# Part of the time left to the deadline that may be spent on waiting.
_WAIT_RATIO: Final = 0.5


@final
class TermHolder:
    """Facade over the operations of one held term."""

    def __init__(self, held: HeldTerm) -> None:
        """Create the parts that serve the term of ``held``."""
        access = LedgerAccess(held)
        self.view = held.view
        self._held = held
        self._writer = TermWriter(held, access)
        self._settler = TermSettler(held, access, self._writer)
        self._transactions = InteractiveTransactions(
            held,
            access,
            self._writer,
        )
        self._sweeper = LedgerSweeper(held, access)
        self.gate = HolderGate(held.parts)
        self._running = RunningWrites()

    @property
    def is_closed(self) -> bool:
        """Whether a newer term is known."""
        return self._held.is_closed

    @property
    def open_transaction_count(self) -> int:
        """Number of interactive transactions that have not ended."""
        return self._transactions.open_count

    async def run(self) -> None:
        """Delete expired ledger rows until the term is closed."""
        await self._sweeper.run()

    async def admit(self, deadline_s: float) -> Refused | None:
        """Wait while the primary or the holder changes.

        Returns
        -------
        Refused or None
            None when new work may start. A refusal when the term is closed,
            or when the change takes longer than the request may wait.
        """
        await self.gate.wait_until_admitting(
            lambda: self.is_closed,
            self._wait_until_s(deadline_s, _CHANGE_WAIT_S),
        )
        if self.is_closed or not self.gate.is_open:
            return self._held.refuse_not_owner()
        if self.gate.is_stopped:
            return refuse(
                RefusalReason.TARGET_LEAVING,
                member=self.view.primary,
                retry_after_ms=_LEAVING_RETRY_MS,
            )
        return None

    async def write(self, run: PeerRun) -> Outcome:
        """Run a write that consists of one request, at most once."""
        deadline_s = self._deadline_s(run.request.deadline_ms)
        refused = await self.admit(deadline_s)
        if refused is not None:
            return refused
        request_id = run.request.request_id
        start = functools.partial(self._writer.write, run, deadline_s)
        return await self._guarded(
            request_id,
            lambda: self._running.run(
                request_id,
                start,
                self._held.parts.remaining_s(deadline_s),
            ),
        )

    async def begin(self, run: PeerRun) -> Outcome:
        """Open an interactive transaction and run its first statements."""
        deadline_s = self._deadline_s(run.request.deadline_ms)
        refused = await self.admit(deadline_s)
        if refused is not None:
            return refused
        if not self.gate.admits_transactions:
            return await self._refuse_leaving(deadline_s)
        return await self._guarded(
            run.request.request_id,
            lambda: self._transactions.begin(run, deadline_s),
        )

    async def execute(
        self,
        transaction_id: str,
        statements: Sequence[Statement],
        deadline_ms: int,
    ) -> Outcome:
        """Run statements in an open transaction."""
        with self.gate.in_flight():
            return await self._transactions.execute(
                transaction_id,
                statements,
                self._deadline_s(deadline_ms),
            )

    async def commit(self, transaction_id: str, deadline_ms: int) -> Outcome:
        """Commit an open transaction."""
        request_id = self._transactions.request_id(transaction_id)
        if request_id is None:
            return refuse(
                RefusalReason.NO_TRANSACTION,
                transaction_id=transaction_id,
            )
        return await self._guarded(
            request_id,
            lambda: self._transactions.commit(
                transaction_id,
                self._deadline_s(deadline_ms),
            ),
        )

    async def rollback(self, transaction_id: str, deadline_ms: int) -> Outcome:
        """Roll back an open transaction."""
        with self.gate.in_flight():
            return await self._transactions.rollback(
                transaction_id,
                self._deadline_s(deadline_ms),
            )

    async def settle(self, request_id: str, deadline_ms: int) -> Outcome:
        """Determine the outcome of an earlier request, or prevent its run."""
        deadline_s = self._deadline_s(deadline_ms)
        refused = await self.admit(deadline_s)
        if refused is not None:
            return unknown(request_id, refused.message)
        return await self._guarded(
            request_id,
            lambda: self._settler.settle(request_id, deadline_s),
        )

    async def floor(self, session_id: str, deadline_s: float) -> Floor | None:
        """Return the session's floor.

        Returns
        -------
        Floor or None
            None when the term could not be confirmed before ``deadline_s``
            (monotonic time).
        """
        confirmed = await self._held.confirmer.confirm(deadline_s)
        if confirmed is None:
            return None
        return self._held.sessions.floor(session_id)

    async def beacon(
        self,
        deadline_s: float,
        max_age_s: float = 0,
    ) -> GroupBeacon | None:
        """Return the primary's position at the confirmed term.

        Parameters
        ----------
        deadline_s
            Monotonic time after which waiting ends.
        max_age_s
            A confirmation that began at most this many seconds ago is used
            again. With 0, the members are asked after this call.

        Returns
        -------
        GroupBeacon or None
            None when the term could not be confirmed in time.
        """
        latest = self._held.confirmer.latest(max_age_s) if max_age_s else None
        if latest is not None:
            age_s = self._held.parts.clock.monotonic_s() - latest.began_s
            age_ms = math.ceil(age_s * MS_PER_S)
            return GroupBeacon(self.view, latest.position, age_ms)
        position = await self._held.confirmer.confirm(deadline_s)
        return None if position is None else GroupBeacon(self.view, position)

    def is_replicated(self, position: int) -> bool:
        """Return whether a majority is known to hold a log position."""
        return self._held.confirmer.is_replicated(position)

    async def release(self, timeout_s: float) -> bool:
        """Drain all work, so that another host can acquire the next term.

        Returns
        -------
        bool
            False when a planned switchover is in progress, or when work was
            still in flight after ``timeout_s``.
        """
        if self.gate.is_paused:
            return False
        return await self.gate.drain(
            lambda: self._transactions.open_count,
            timeout_s,
        )

    def confirm_begun(self, transaction_id: str) -> None:
        """Record that the entry host received the answer to a begin."""
        self._transactions.confirm(transaction_id)

    def abort_idle(self) -> None:
        """Abort interactive transactions that exceed their idle limit."""
        self._transactions.abort_idle()

    def close(self) -> None:
        """Stop serving, because a newer term exists."""
        self._held.close()
        self._transactions.close()

    async def _refuse_leaving(self, deadline_s: float) -> Refused:
        """Refuse a begin while the term is handed over.

        The refusal is delayed, because the entry host's next attempt would
        reach this host again until another host has acquired the term.
        """
        await self.gate.wait_until_handed_over(
            lambda: self.is_closed,
            self._wait_until_s(deadline_s, _BEGIN_WAIT_S),
        )
        return refuse(
            RefusalReason.HOST_LEAVING,
            host_id=self._held.parts.host_id,
            retry_after_ms=_LEAVING_RETRY_MS,
        )

    def _wait_until_s(self, deadline_s: float, limit_s: float) -> float:
        """Return the monotonic time at which waiting ends.

        Half of the time left to the deadline is kept for the work itself.
        """
        left_s = _WAIT_RATIO * self._held.parts.remaining_s(deadline_s)
        return self._held.parts.clock.monotonic_s() + min(limit_s, left_s)

    async def _guarded(
        self,
        request_id: str,
        start: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        with self.gate.in_flight():
            try:
                return await start()
            except InvariantError as error:
                self.close()
                self._held.parts.decisions.record(
                    'term_closed',
                    str(error),
                    group=self.view.group,
                    term=self.view.term,
                    request_id=request_id,
                )
        return unknown(request_id, 'an internal consistency check failed.')

    def _deadline_s(self, deadline_ms: int | None) -> float:
        if deadline_ms is None:
            return self._held.parts.deadline_after(_DEFAULT_DEADLINE_MS)
        return self._held.parts.deadline_after(deadline_ms)
