"""A database group in memory, behind the product's ports."""

import asyncio
import math
from collections.abc import Callable
from typing import Final, TypeAlias, final

import attrs

from mimosapond.failover.claim_port import (
    DutyClaim,
    ClaimOutcome,
    DutyUnknown,
)
from mimosapond.failover.promotion_port import (
    Promoted,
    PromotionOutcome,
    PromotionRefused,
    PromotionUnknown,
)
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.member_port import StatusAnswer
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.member_status import MemberStatus
from mimosapond.groups.registration_source import (
    Registrations,
    RegistrationsUnavailable,
)
from mimosapond.statements.reply import SessionState
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Shape,
)

RecordBuilder: TypeAlias = Callable[[str], MemberRecord]

_STEP_S: Final = 0.001


@final
@attrs.define(eq=False)
class FakeMember:
    """State of one member; tests change it at will."""

    member_id: str
    is_primary: bool = False
    position: LogPosition = LogPosition(1, 10)
    paused_term: int = 0
    is_silent: bool = False
    is_full: bool = False
    # How long an attempt to connect to a silent member takes.
    connect_delay_s: float = 0
    loses_answers: bool = False
    rejects: list[RejectionKind] = attrs.field(factory=list)
    runs: list[str] = attrs.field(factory=list)
    values: dict[str, str] = attrs.field(factory=dict)
    pause_count: int = 0
    # Numbers of the control questions, from 1, that get no answer.
    unanswered_requests: set[int] = attrs.field(factory=set)
    control_request_count: int = 0

    @property
    def status(self) -> MemberStatus:
        """What it reports of itself."""
        return MemberStatus(
            is_primary=self.is_primary,
            term=self.position.term,
            received=self.position,
            paused_term=self.paused_term,
        )


@final
class FakeConnection:
    """A connection to a fake member; see ``MemberConnection``."""

    def __init__(self, member: FakeMember) -> None:
        """Open it."""
        self._member = member
        self._state = SessionState.idle
        self.is_open = True
        self.name = member.member_id

    @property
    def state(self) -> SessionState | None:
        """State after the last answer."""
        return self._state

    async def run(
        self,
        request_id: str,
        statement: DirectStatement | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a statement; a commit ends the transaction."""
        is_commit = isinstance(statement, Commit)
        text = 'COMMIT' if is_commit else statement.text
        answer = await self._answer(text, wait_for, limit_s)
        if is_commit and isinstance(answer, Completed):
            self._state = SessionState.idle
        return answer

    async def run_prepared(
        self,
        request_id: str,
        name: str,
        arguments: str,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a prepared name."""
        text = f'{name} {arguments}'
        return await self._answer(text, wait_for, limit_s)

    async def begin(
        self, statement: Begin, wait_for: LogPosition | None, limit_s: float
    ) -> MemberAnswer:
        """Start a transaction."""
        if not (statement.is_read_only or self._member.is_primary):
            return self._reject(RejectionKind.not_primary)
        answer = await self._answer('BEGIN', wait_for, limit_s)
        if isinstance(answer, Completed):
            self._state = SessionState.in_transaction
        return answer

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """End a transaction."""
        self._state = SessionState.idle
        return await self._answer('ROLLBACK', None, limit_s)

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Assign a session value."""
        self._member.values[name] = value
        return await self._answer(f'SET {name} {value}', None, limit_s)

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Define a prepared name."""
        text = f'PREPARE {name} {shape.text}'
        return await self._answer(text, None, limit_s)

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Clear what the session defined."""
        self._member.values.clear()
        return await self._answer('DISCARD', None, limit_s)

    async def status(self, limit_s: float) -> StatusAnswer:
        """Report role and position."""
        return self._control() or self._member.status

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop receiving, unless it leads."""
        if not self._member.is_primary:
            self._member.paused_term = term
            self._member.pause_count += 1
        return self._control() or self._member.status

    async def resume(self, limit_s: float) -> StatusAnswer:
        """Receive again."""
        self._member.paused_term = 0
        return self._control() or self._member.status

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Become a replica."""
        self._member.is_primary = False
        return self._control() or self._member.status

    def close(self) -> None:
        """Close."""
        self.is_open = False

    def _control(self) -> LinkLost | None:
        self._member.control_request_count += 1
        is_missed = (
            self._member.control_request_count
            in self._member.unanswered_requests
        )
        if not (self._member.is_silent or is_missed):
            return None
        self.close()
        return LinkLost('silent')

    async def _answer(
        self, text: str, wait_for: LogPosition | None, limit_s: float
    ) -> MemberAnswer:
        member = self._member
        await asyncio.sleep(_STEP_S)
        if member.is_silent:
            self.close()
            return LinkLost('silent')
        if member.rejects:
            return self._reject(member.rejects.pop(0))
        if wait_for is not None and wait_for > member.position:
            return self._reject(RejectionKind.behind)
        member.runs.append(text)
        if member.loses_answers and text not in {'BEGIN', 'ROLLBACK'}:
            await asyncio.sleep(limit_s)
            self.close()
            return LinkLost('the answer was lost')
        return Completed(
            (), f'{member.member_id}-signed', self._state, member.position
        )

    def _reject(self, kind: RejectionKind) -> Rejected:
        return Rejected(kind, kind.value, self._state, self._member.position)


@final
class FakeDialer:
    """Opens connections to fake members; see ``MemberDialer``."""

    def __init__(self, members: dict[str, FakeMember]) -> None:
        """Take the members by id."""
        self._members = members

    async def dial(
        self, record: MemberRecord
    ) -> FakeConnection | Rejected | LinkLost:
        """Open a connection."""
        await asyncio.sleep(_STEP_S)
        member = self._members.get(record.member_id)
        if member is None:
            return Rejected(
                RejectionKind.wrong_member, 'other', SessionState.idle, None
            )
        if member.is_silent:
            await asyncio.sleep(member.connect_delay_s)
            return LinkLost('refused')
        if member.is_full:
            kind = RejectionKind.too_many_connections
            return Rejected(kind, 'full', SessionState.idle, None)
        return FakeConnection(member)


@final
class FakeClaims:
    """Claims of a test; see ``ClaimPort``."""

    def __init__(self) -> None:
        """Give the claim to whoever asks."""
        self.outcome: ClaimOutcome = DutyClaim(7, math.inf)
        self.is_released = False
        self.reserve_token: int | None = 5
        self.claim_count = 0

    async def claim(self, group: str) -> ClaimOutcome:
        """Return the outcome that the test set."""
        self.claim_count += 1
        return self.outcome

    def answer(self, outcome: ClaimOutcome) -> None:
        """Answer further claims with this outcome."""
        self.outcome = outcome

    async def reserve(self) -> int | None:
        """Return the token that the test set."""
        return self.reserve_token

    async def release(self, group: str) -> None:
        """Note the release."""
        self.is_released = True

    def fall_silent(self) -> None:
        """Let the store not answer."""
        self.outcome = DutyUnknown('no answer')


@final
class FakePromotions:
    """The platform's promotion; see ``PromotionPort``."""

    def __init__(self, members: dict[str, FakeMember]) -> None:
        """Take the members by id."""
        self._members = members
        self.calls: list[tuple[str, int]] = []
        self.is_silent = False
        self.newest_token = 0
        self.on_call: Callable[[], None] = _do_nothing

    async def promote(
        self, group: str, member_id: str, token: int, limit_s: float
    ) -> PromotionOutcome:
        """Make the member lead at once."""
        self.calls.append((member_id, token))
        self.on_call()
        if self.is_silent:
            return PromotionUnknown('no answer')
        if token < self.newest_token:
            return PromotionRefused('a higher token was seen')
        self.newest_token = token
        chosen = self._members[member_id]
        if not chosen.is_primary:
            for member in self._members.values():
                member.is_primary = False
            chosen.is_primary = True
            # The pauses of the others stay.
            chosen.paused_term = 0
            chosen.position = LogPosition(
                chosen.position.term + 1, chosen.position.number
            )
        return Promoted()


def _do_nothing() -> None:
    pass


@final
class FakeRegistrations:
    """Registrations of a test; see ``RegistrationSource``."""

    def __init__(self, names: list[str], build: RecordBuilder) -> None:
        """Take the members that are registered, and how to build a record."""
        self.names = names
        self.is_silent = False
        self.delay_s: float = 0
        self._build = build

    async def read(
        self, limit_s: float
    ) -> Registrations | RegistrationsUnavailable:
        """Return the members that the test registered."""
        await asyncio.sleep(min(self.delay_s, limit_s))
        if self.is_silent or self.delay_s > limit_s:
            return RegistrationsUnavailable('no answer')
        return Registrations(tuple(self._build(name) for name in self.names))
