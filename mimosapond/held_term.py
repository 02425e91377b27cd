"""What all operations of one held term share."""

from typing import Final, final

from mimosapond.completed import Completed
from mimosapond.durability import Durability
from mimosapond.errors import refuse, unknown
from mimosapond.floor import Floor
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.invariant_error import Invariant, InvariantError
from mimosapond.landed import Landed
from mimosapond.ledger_row import RowState
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.session_table import SessionTable
from mimosapond.slot_source import SlotSource
from mimosapond.standing_round import StandingRound
from mimosapond.target_results import TargetRejected
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
        """Hold ``view``'s term, which began at ``start_position``."""
        self.parts = parts
        self.view = view
        self.slots = slots
        self.is_closed = False
        self.sessions = SessionTable(
            Floor(view.term, start_position),
            parts.options.session_limit_count,
        )
        self.round = StandingRound(parts, group, view, self._superseded)

    def close(self) -> None:
        """Stop all checks; nothing is acknowledged from now on."""
        self.is_closed = True
        self.round.close()

    async def conclude(
        self,
        request_id: str,
        landed: Landed,
        durability: Durability,
        deadline_s: float,
    ) -> Outcome:
        """Turn a committed row into the outcome, once it is certain."""
        is_cancelled = landed.row.state is RowState.CANCELLED
        required = Durability.REPLICATED if is_cancelled else durability
        if not await self._is_certain(landed.position, required, deadline_s):
            self.parts.decisions.record(
                'write_unconfirmed',
                'no majority confirmed it before the deadline',
                request_id=request_id,
                group=self.view.group,
                member=self.view.primary,
                term=self.view.term,
                position=landed.position,
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
        token = Token(self.view.group, self.view.term, landed.position)
        return Completed(
            results=landed.row.results,
            token=str(token),
            member=self.view.primary,
            replayed=landed.is_replayed,
        )

    def refuse_rejected(self, rejected: TargetRejected) -> Refused:
        """Map a target's rejection, which had no effect, to a refusal."""
        self.round.note(rejected.standing)
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
        """Refuse because another host holds, or will hold, the group."""
        return refuse(
            RefusalReason.NOT_OWNER,
            member=self.view.primary,
            retry_after_ms=_RETRY_AFTER_MS,
        )

    def refuse_no_primary(self, problem: str) -> Refused:
        """Refuse because the primary did not take the request."""
        return refuse(
            RefusalReason.NO_PRIMARY,
            group=self.view.group,
            problem=problem,
            retry_after_ms=_RETRY_AFTER_MS,
        )

    async def _is_certain(
        self,
        position: int,
        durability: Durability,
        deadline_s: float,
    ) -> bool:
        if durability is Durability.REPLICATED:
            return await self.round.replicated(position, deadline_s)
        confirmed = await self.round.confirm(deadline_s)
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
