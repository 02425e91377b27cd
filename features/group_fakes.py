"""Fakes of a database group, of claims, promotions and registrations.

The fakes implement the ports of the product in memory.
"""

import asyncio
import math
from collections.abc import Callable
from typing import Final, TypeAlias, final

import attrs

from mimosapond.failover.claim_port import (
    DutyClaim,
    ClaimOutcome,
    DutyTaken,
    DutyUnknown,
    FoundRecord,
)
from mimosapond.failover.lead_record import (
    LeadRecord,
    LeadRecording,
    LeadUnknown,
    NoLead,
)
from mimosapond.failover.promotion_port import (
    Promoted,
    PromotionOutcome,
    PromotionRefused,
    PromotionUnknown,
)
from mimosapond.groups.connection_share import ConnectionShare
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.member_port import StatusAnswer
from mimosapond.groups.member_process import MemberProcess
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

# Time that a fake needs for an answer or a new connection.
_ANSWER_DELAY_S: Final = 0.001
# Statements that a host sends to prepare a connection for those of callers.
_PREPARING_WORDS: Final = frozenset(
    ('BEGIN', 'ROLLBACK', 'SET', 'PREPARE', 'DISCARD')
)


def _do_nothing() -> None:
    """Let a request or call happen without an event beside it."""


@final
@attrs.define(eq=False)
class FakeMember:
    """State of one member, which tests change directly."""

    member_id: str
    is_primary: bool = False
    position: LogPosition = LogPosition(1, 10)
    # Term that it is in without a commit of that term; 0 if it has one.
    empty_term: int = 0
    # Position that it has received and not applied; None if there is none.
    received: LogPosition | None = None
    paused_term: int = 0
    is_silent: bool = False
    is_full: bool = False
    # Start of its process; None if the member does not tell it.
    born_ms: int | None = None
    # Time after which an attempt to connect to a silent member fails.
    connect_delay_s: float = 0
    loses_answers: bool = False
    ignores_pauses: bool = False
    pending_rejections: list[RejectionKind] = attrs.field(factory=list)
    executed_statements: list[str] = attrs.field(factory=list)
    session_values: dict[str, str] = attrs.field(factory=dict)
    pause_count: int = 0
    resume_count: int = 0
    # Numbers of the control requests, counted from 1, that get no answer.
    unanswered_requests: set[int] = attrs.field(factory=set)
    # Whether requests to resume get no answer and have no effect yet.
    delays_resumes: bool = False
    control_request_count: int = 0
    control_answer_count: int = 0
    refusal_count: int = 0
    # Time that a caller's statement takes.
    statement_s: float = 0

    @property
    def status(self) -> MemberStatus:
        """The status that the member reports."""
        return MemberStatus(
            is_primary=self.is_primary,
            term=max(self.position.term, self.empty_term),
            received=self.received or self.position,
            paused_term=self.paused_term,
        )


@final
class FakeConnection:
    """A connection to a fake member; see ``MemberConnection``."""

    def __init__(
        self,
        member: FakeMember,
        on_request: Callable[[], None] = _do_nothing,
    ) -> None:
        """Open an idle connection."""
        self._member = member
        self._on_request = on_request
        self._state = SessionState.idle
        self._is_closed = False
        self._born_ms = member.born_ms
        self.name = member.member_id

    @property
    def is_open(self) -> bool:
        """Whether it is not closed, and its process has not started again."""
        return not self._is_closed and self._born_ms == self._member.born_ms

    @property
    def state(self) -> SessionState | None:
        """Session state after the last answer."""
        return self._state

    async def run(
        self,
        request_id: str,
        statement: DirectStatement | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a statement; an acknowledged commit ends the transaction."""
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
        """Run a prepared statement."""
        text = f'{name} {arguments}'
        return await self._answer(text, wait_for, limit_s)

    async def begin(
        self, statement: Begin, wait_for: LogPosition | None, limit_s: float
    ) -> MemberAnswer:
        """Start a transaction; a replica rejects one that may write."""
        if not (statement.is_read_only or self._member.is_primary):
            return self._reject(RejectionKind.not_primary)
        answer = await self._answer('BEGIN', wait_for, limit_s)
        if isinstance(answer, Completed):
            self._state = SessionState.in_transaction
        return answer

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """End a transaction without a commit."""
        self._state = SessionState.idle
        return await self._answer('ROLLBACK', None, limit_s)

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Assign a session value."""
        self._member.session_values[name] = value
        return await self._answer(f'SET {name} {value}', None, limit_s)

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Define a prepared statement."""
        text = f'PREPARE {name} {shape.text}'
        return await self._answer(text, None, limit_s)

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Clear the values of the session."""
        self._member.session_values.clear()
        return await self._answer('DISCARD', None, limit_s)

    async def status(self, limit_s: float) -> StatusAnswer:
        """Report the role and the log position."""
        status = self._member.status
        return self._count_control_request() or status

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop receiving, unless the member is the primary."""
        if self._member.ignores_pauses:
            self.close()
            return LinkLost('the answer was lost')
        if not self._member.is_primary:
            self._member.paused_term = term
            self._member.pause_count += 1
        status = self._member.status
        return self._count_control_request() or status

    async def resume(self, limit_s: float) -> StatusAnswer:
        """End a pause, whichever term it has."""
        self._member.resume_count += 1
        if self._member.delays_resumes:
            self.close()
            return LinkLost('silent')
        self._member.paused_term = 0
        status = self._member.status
        return self._count_control_request() or status

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Become a replica."""
        self._member.is_primary = False
        status = self._member.status
        return self._count_control_request() or status

    def close(self) -> None:
        """Mark the connection as closed."""
        self._is_closed = True

    def _count_control_request(self) -> LinkLost | None:
        self._member.control_request_count += 1
        # What it answers was true before other events during the request.
        self._member.control_answer_count += not self._member.is_silent
        self._on_request()
        is_unanswered = (
            self._member.control_request_count
            in self._member.unanswered_requests
        )
        if not (self._member.is_silent or is_unanswered):
            return None
        self.close()
        return LinkLost('silent')

    async def _answer(
        self, text: str, wait_for: LogPosition | None, limit_s: float
    ) -> MemberAnswer:
        member = self._member
        await asyncio.sleep(_ANSWER_DELAY_S)
        if text.partition(' ')[0] not in _PREPARING_WORDS:
            await asyncio.sleep(min(member.statement_s, limit_s))
        if member.is_silent or member.statement_s > limit_s:
            self.close()
            return LinkLost('silent')
        if member.pending_rejections:
            return self._reject(member.pending_rejections.pop(0))
        if wait_for is not None and wait_for > member.position:
            return self._reject(RejectionKind.behind)
        member.executed_statements.append(text)
        if member.loses_answers and text not in {'BEGIN', 'ROLLBACK'}:
            await asyncio.sleep(limit_s)
            self.close()
            return LinkLost('the answer was lost')
        return Completed(
            (), f'{member.member_id}-signed', self._state, member.position
        )

    def _reject(self, kind: RejectionKind) -> Rejected:
        self._member.refusal_count += 1
        return Rejected(kind, kind.value, self._state, self._member.position)


@final
class FakeDialer:
    """Opens connections to fake members; see ``MemberDialer``."""

    def __init__(
        self,
        members: dict[str, FakeMember],
        on_request: Callable[[], None] = _do_nothing,
    ) -> None:
        """Create a dialer for members by id.

        Parameters
        ----------
        on_request
            Called after each control request of the connections.
        """
        self._members = members
        self._on_request = on_request

    async def dial(
        self, record: MemberRecord, workspace: str = ''
    ) -> FakeConnection | Rejected | LinkLost:
        """Open a connection.

        A silent member refuses it after its delay, a full one at once.
        """
        await asyncio.sleep(_ANSWER_DELAY_S)
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
        return FakeConnection(member, self._on_request)


@final
class FakeClaims:
    """Claims whose outcome a test sets; see ``ClaimPort``."""

    def __init__(self) -> None:
        """Grant every claim until a test sets another outcome."""
        self.outcome: ClaimOutcome = DutyClaim(7, math.inf, NoLead())
        self.is_released = False
        self.reserved_token: int | None = 5
        self.recording = LeadRecording.recorded
        self.recorded_lead: Lead | None = None
        self.claim_count = 0
        self.on_claim: Callable[[], None] = _do_nothing
        # What is read; None stands for a store that does not answer.
        self.found: FoundRecord | None = FoundRecord(GroupRecord(), 0, False)
        self.recorded_witnesses: frozenset[MemberProcess] | None = None
        self.settled_lead: LeadRecord = LeadUnknown()
        self.recorded_call_id = ''
        # Processes whose requests to resume were recorded and not forgotten.
        self.resumed: frozenset[MemberProcess] = frozenset()
        self.resume_recording = LeadRecording.recorded
        self.read_count = 0

    async def claim(self, group: str) -> ClaimOutcome:
        """Return the outcome that the test set."""
        self.claim_count += 1
        self.on_claim()
        return self.outcome

    def use_outcome(self, outcome: ClaimOutcome) -> None:
        """Use this outcome for all further claims."""
        self.outcome = outcome

    async def record_lead(
        self, group: str, claim: DutyClaim, lead: Lead
    ) -> LeadRecording:
        """Keep the lead, and return the result that the test set."""
        self.recorded_lead = lead
        return self.recording

    async def record_call(
        self, group: str, claim: DutyClaim, member_id: str
    ) -> LeadRecording:
        """Keep the id, and return the result that the test set."""
        self.recorded_call_id = member_id
        return self.recording

    async def settle_lead(
        self, group: str, known: LeadRecord, lead: LeadRecord
    ) -> bool:
        """Keep the lead of the primary that leads."""
        self.settled_lead = lead
        return True

    async def record_resumes(
        self, group: str, claim: DutyClaim, processes: frozenset[MemberProcess]
    ) -> LeadRecording:
        """Keep the processes, and return the result that the test set."""
        self.resumed |= processes
        return self.resume_recording

    async def forget_resumes(
        self, group: str, processes: frozenset[MemberProcess]
    ) -> None:
        """Remove the processes."""
        self.resumed -= processes

    async def read_record(self, group: str) -> FoundRecord | None:
        """Return the record that the test set."""
        self.read_count += 1
        return self.found

    async def replace_record(
        self, group: str, found: FoundRecord, record: GroupRecord
    ) -> bool:
        """Keep the witnesses and the lead."""
        self.recorded_witnesses = record.witnesses
        self.settled_lead = record.lead or NoLead()
        return True

    async def reserve(self) -> int | None:
        """Return the token that the test set."""
        return self.reserved_token

    async def release(self, group: str) -> None:
        """Record the release."""
        self.is_released = True

    def stop_answering(self) -> None:
        """Make all further claims fail without an answer of the store."""
        self.outcome = DutyUnknown('no answer')


@final
class FakeClaimStore:
    """Claims of several hosts on one group, with one holder at a time."""

    def __init__(self) -> None:
        """Create a store without a holder."""
        self._holder = ''
        self.record = GroupRecord()
        # Increases with each change of the record.
        self.version = 0
        # The host to which each token was granted.
        self.granted: dict[int, str] = {}

    def claim(self, host: str) -> ClaimOutcome:
        """Grant a claim unless another host holds one."""
        if self._holder not in {'', host}:
            return DutyTaken(self._holder)
        self._holder = host
        token = len(self.granted) + 2
        self.granted[token] = host
        lead = self.record.lead or NoLead()
        return DutyClaim(
            token,
            math.inf,
            lead,
            self.record.witnesses,
        )

    def found(self) -> FoundRecord:
        """Return the record as it is now."""
        version = self.version + len(self.granted)
        return FoundRecord(self.record, version, bool(self._holder))

    def replace(self, record: GroupRecord) -> None:
        """Write a record."""
        self.version += 1
        self.record = record

    def release(self, host: str) -> None:
        """End the claim of a host."""
        if self._holder == host:
            self._holder = ''


@final
@attrs.frozen
class FakeHostClaims:
    """Claims of one host at a claim store; see ``ClaimPort``."""

    store: FakeClaimStore
    host: str

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim at the store."""
        return self.store.claim(self.host)

    async def record_lead(
        self, group: str, claim: DutyClaim, lead: Lead
    ) -> LeadRecording:
        """Record at the store, which has granted no other claim since."""
        if claim.token != max(self.store.granted):
            return LeadRecording.superseded
        called = self.store.record.called(lead.member_id)
        self.store.replace(attrs.evolve(called, lead=lead))
        return LeadRecording.recorded

    async def record_call(
        self, group: str, claim: DutyClaim, member_id: str
    ) -> LeadRecording:
        """Record at the store, which has granted no other claim since."""
        if claim.token != max(self.store.granted):
            return LeadRecording.superseded
        self.store.replace(self.store.record.called(member_id))
        return LeadRecording.recorded

    async def settle_lead(
        self, group: str, known: LeadRecord, lead: LeadRecord
    ) -> bool:
        """Replace the lead, if no other claim was granted since."""
        record = self.store.record
        is_last = self.store.granted[max(self.store.granted)] == self.host
        if not is_last or (record.lead or NoLead()) != known:
            return False
        settled = record.settled(lead if isinstance(lead, Lead) else None)
        self.store.replace(settled)
        return True

    async def record_resumes(
        self, group: str, claim: DutyClaim, processes: frozenset[MemberProcess]
    ) -> LeadRecording:
        """Record nothing, as each request is answered."""
        return LeadRecording.recorded

    async def forget_resumes(
        self, group: str, processes: frozenset[MemberProcess]
    ) -> None:
        """Do nothing, as nothing was recorded."""

    async def read_record(self, group: str) -> FoundRecord | None:
        """Read from the store."""
        return self.store.found()

    async def replace_record(
        self, group: str, found: FoundRecord, record: GroupRecord
    ) -> bool:
        """Write to the store if nothing has changed since it was read."""
        if found != self.store.found() or found.is_claimed:
            return False
        self.store.replace(record)
        return True

    async def reserve(self) -> None:
        """Return no token."""

    async def release(self, group: str) -> None:
        """Release at the store."""
        self.store.release(self.host)


@final
class FakePromotions:
    """Promotions of the platform; see ``PromotionPort``.

    The attribute ``calls`` holds the member id and the token of each call, and
    ``on_call`` is called during each call.
    """

    def __init__(self, members: dict[str, FakeMember]) -> None:
        """Create promotions of members by id."""
        self._members = members
        self.calls: list[tuple[str, int]] = []
        self.is_silent = False
        self.delay_s: float = 0
        self.newest_token = 0
        self.on_call: Callable[[], None] = _do_nothing

    async def promote(
        self, group: str, member_id: str, token: int, limit_s: float
    ) -> PromotionOutcome:
        """Make the member the primary, unless its token is too low."""
        await asyncio.sleep(self.delay_s)
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
            # Only the pause of the promoted member ends.
            chosen.paused_term = 0
            chosen.position = LogPosition(
                chosen.position.term + 1, chosen.position.number
            )
        return Promoted()


@final
class FakeRegistrations:
    """Registrations that a test sets; see ``RegistrationSource``."""

    def __init__(self, names: list[str], build: RecordBuilder) -> None:
        """Register members.

        Parameters
        ----------
        names
            Ids of the registered members.
        build
            Builds the registration of a member id.
        """
        self.names = names
        self.is_silent = False
        self.delay_s: float = 0
        self.read_count = 0
        self._build = build

    async def read(
        self, limit_s: float
    ) -> Registrations | RegistrationsUnavailable:
        """Return the registered members, or time out if a delay is longer."""
        self.read_count += 1
        await asyncio.sleep(min(self.delay_s, limit_s))
        if self.is_silent or self.delay_s > limit_s:
            return RegistrationsUnavailable('no answer')
        return Registrations(tuple(self._build(name) for name in self.names))


@final
class SwitchedHolding:
    """Holds all groups or none; see ``Holding``."""

    def __init__(self) -> None:
        """Start without groups."""
        self.is_held = False
        self.connection_share: ConnectionShare = None

    def holds(self, group: str) -> bool:
        """Return what the test set."""
        return self.is_held

    def holder_count(self, group: str) -> int | None:
        """Return None: all hosts may hold the group."""

    def share(self, group: str) -> ConnectionShare:
        """Return what the test set."""
        return self.connection_share

    def is_reachable(self, group: str) -> bool:
        """Return what the test set."""
        return self.is_held

    def record_request(self, group: str) -> bool:
        """Ignore a request."""
        return False
