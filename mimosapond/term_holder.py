"""Serves writes and floor queries of one group at one term.

There is one holder per term: a holder that was replaced is fenced by the
members' term check, as a replaced primary is.
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

# Used when a peer names no deadline.
_DEFAULT_DEADLINE_MS: Final = 5000
_LEAVING_RETRY_MS: Final = 1000
# A begin at a holder that hands over is refused after this time.
_BEGIN_WAIT_S: Final = 1
# Above the bounds of two attempts at a planned switchover: with replicas that
# lag by a second, the first attempt only stops the writes.
_CHANGE_WAIT_S: Final = 4
_WAIT_RATIO: Final = 0.5


@final
class TermHolder:
    """Facade over the operations of one held term."""

    def __init__(self, held: HeldTerm) -> None:
        """Serve the term of ``held``."""
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
        """Interactive transactions that have not ended."""
        return self._transactions.open_count

    async def run(self) -> None:
        """Delete expired ledger rows until the term is closed."""
        await self._sweeper.run()

    async def admit(self, deadline_s: float) -> Refused | None:
        """Wait during a change of primary or holder; refuse new work after it."""
        await self.gate.wait_resumed(
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
        """Run a one-request write at most once."""
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
        """Open an interactive transaction."""
        deadline_s = self._deadline_s(run.request.deadline_ms)
        refused = await self.admit(deadline_s)
        if refused is not None:
            return refused
        if not self.gate.takes_transactions:
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
        with self.gate.active():
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
        """Roll an open transaction back."""
        with self.gate.active():
            return await self._transactions.rollback(
                transaction_id,
                self._deadline_s(deadline_ms),
            )

    async def settle(self, request_id: str, deadline_ms: int) -> Outcome:
        """Make the outcome of an earlier request certain."""
        deadline_s = self._deadline_s(deadline_ms)
        refused = await self.admit(deadline_s)
        if refused is not None:
            return unknown(request_id, refused.message)
        return await self._guarded(
            request_id,
            lambda: self._settler.settle(request_id, deadline_s),
        )

    async def floor(self, session_id: str, deadline_s: float) -> Floor | None:
        """Return the session's floor, None when the term isn't confirmed."""
        confirmed = await self._held.round.confirm(deadline_s)
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
            A round that began this recently is used again; with 0 a new one
            begins after this call.
        """
        latest = self._held.round.latest(max_age_s) if max_age_s else None
        if latest is not None:
            age_s = self._held.parts.clock.monotonic_s() - latest.began_s
            age_ms = math.ceil(age_s * MS_PER_S)
            return GroupBeacon(self.view, latest.position, age_ms)
        position = await self._held.round.confirm(deadline_s)
        return None if position is None else GroupBeacon(self.view, position)

    def is_replicated(self, position: int) -> bool:
        """Return whether a majority is known to hold a log position."""
        return self._held.round.is_replicated(position)

    async def release(self, timeout_s: float) -> bool:
        """Finish open work, so that another host can take the term over."""
        if self.gate.is_paused:
            return False
        return await self.gate.drain(
            lambda: self._transactions.open_count,
            timeout_s,
        )

    def confirm_begun(self, transaction_id: str) -> None:
        """Note that the entry host has the answer of a begin."""
        self._transactions.confirm(transaction_id)

    def abort_idle(self) -> None:
        """End interactive transactions whose caller went away."""
        self._transactions.abort_idle()

    def close(self) -> None:
        """Stop serving, because a newer term exists."""
        self._held.close()
        self._transactions.close()

    async def _refuse_leaving(self, deadline_s: float) -> Refused:
        """Refuse a begin while the term is handed over.

        The refusal is held back, since the entry host's next attempt would
        come here again until another host has the term.
        """
        await self.gate.wait_released(
            lambda: self.is_closed,
            self._wait_until_s(deadline_s, _BEGIN_WAIT_S),
        )
        return refuse(
            RefusalReason.HOST_LEAVING,
            host_id=self._held.parts.host_id,
            retry_after_ms=_LEAVING_RETRY_MS,
        )

    def _wait_until_s(self, deadline_s: float, limit_s: float) -> float:
        """Return a time that leaves half of the deadline for the work."""
        left_s = _WAIT_RATIO * self._held.parts.remaining_s(deadline_s)
        return self._held.parts.clock.monotonic_s() + min(limit_s, left_s)

    async def _guarded(
        self,
        request_id: str,
        start: Callable[[], Awaitable[Outcome]],
    ) -> Outcome:
        with self.gate.active():
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
        return unknown(request_id, 'an internal check failed.')

    def _deadline_s(self, deadline_ms: int | None) -> float:
        if deadline_ms is None:
            return self._held.parts.deadline_after(_DEFAULT_DEADLINE_MS)
        return self._held.parts.deadline_after(deadline_ms)
