"""State and rules shared by all operations of one held term."""

from typing import Final, final

from mimosapond.committed_row import CommittedRow
from mimosapond.completed import Completed
from mimosapond.durability import Durability
from mimosapond.errors import refuse, unknown
from mimosapond.floor import Floor
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.invariant_error import Invariant, InvariantError
from mimosapond.ledger_row import RowState
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.session_table import SessionTable
from mimosapond.slot_source import SlotSource
from mimosapond.target_results import TargetRejected
from mimosapond.term_confirmer import TermConfirmer
from mimosapond.term_parts import TermParts
from mimosapond.token import Token

_RETRY_AFTER_MS: Final = 250


@final
class HeldTerm:
    """One term of one group that this host acquired."""

    def __init__(
        self,
        parts: TermParts,
        group: GroupSpec,
        view: GroupView,
        start_position: int,
        slots: SlotSource,
    ) -> None:
        """Hold the term of ``view``.

        Parameters
        ----------
        start_position
            Log position at which the term began.
        slots
            Queue for the primary's connections.
        """
        self.parts = parts
        self.view = view
        self.slots = slots
        self.is_closed = False
        self.sessions = SessionTable(
            Floor(view.term, start_position),
            parts.options.session_limit_count,
        )
        self.confirmer = TermConfirmer(parts, group, view, self._superseded)

    def close(self) -> None:
        """Stop all checks; no write is acknowledged afterwards."""
        self.is_closed = True
        self.confirmer.close()

    async def acknowledge(
        self,
        request_id: str,
        committed: CommittedRow,
        durability: Durability,
        deadline_s: float,
    ) -> Outcome:
        """Return the outcome of a committed row once it is durable.

        Returns
        -------
        Outcome
            Unknown when the required durability was not confirmed before
            ``deadline_s``. A refusal when the row says that the request was
            cancelled.

        Raises
        ------
        InvariantError
            The primary reported a position below that of the row.
        """
        is_cancelled = committed.row.state is RowState.CANCELLED
        required = Durability.REPLICATED if is_cancelled else durability
        if not await self._is_durable(committed.position, required, deadline_s):
            self.parts.decisions.record(
                'write_unconfirmed',
                'no majority confirmed the write before the deadline',
                request_id=request_id,
                group=self.view.group,
                member=self.view.primary,
                term=self.view.term,
                position=committed.position,
                durability=required,
            )
            return unknown(
                request_id,
                'its term could not be confirmed in time.',
            )
        if is_cancelled:
            return refuse(
                RefusalReason.REQUEST_CANCELLED,
                request_id=request_id,
            )
        token = Token(self.view.group, self.view.term, committed.position)
        return Completed(
            results=committed.row.results,
            token=str(token),
            member=self.view.primary,
            replayed=committed.is_replayed,
        )

    def refuse_rejected(self, rejected: TargetRejected) -> Refused:
        """Return the refusal for a call that the target rejected."""
        self.confirmer.note(rejected.standing)
        match rejected.reason:
            case 'term_mismatch' | 'term_changed':
                return self.refuse_not_owner()
            case 'not_primary':
                return self.refuse_no_primary(rejected.message)
            case 'lock_timeout' | 'no_transaction':
                return refuse(
                    RefusalReason.TRANSACTION_ABORTED,
                    problem=rejected.message,
                    retry_after_ms=_RETRY_AFTER_MS,
                )
            case _:
                return refuse(
                    RefusalReason.SQL_ERROR,
                    problem=rejected.message,
                )

    def refuse_not_owner(self) -> Refused:
        """Refuse because another host holds or will hold the term."""
        return refuse(
            RefusalReason.NOT_OWNER,
            member=self.view.primary,
            retry_after_ms=_RETRY_AFTER_MS,
        )

    def refuse_no_primary(self, problem: str) -> Refused:
        """Refuse because the primary did not accept the request."""
        return refuse(
            RefusalReason.NO_PRIMARY,
            group=self.view.group,
            problem=problem,
            retry_after_ms=_RETRY_AFTER_MS,
        )

    async def _is_durable(
        self,
        position: int,
        durability: Durability,
        deadline_s: float,
    ) -> bool:
        if durability is Durability.REPLICATED:
            return await self.confirmer.wait_replicated(position, deadline_s)
        confirmed = await self.confirmer.confirm(deadline_s)
        if confirmed is not None and confirmed < position:
            raise InvariantError(
                Invariant.POSITION_KNOWN,
                position=position,
                confirmed=confirmed,
            )
        return confirmed is not None

    def _superseded(self, newer_term: int) -> None:
        self.parts.decisions.record(
            'term_closed',
            'members adopted a newer term',
            group=self.view.group,
            term=self.view.term,
            newer_term=newer_term,
        )
        self.close()
