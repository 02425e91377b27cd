"""Session of one connection, which runs its statements in order."""

import itertools
import time
from typing import Final, final

import attrs

from standins.database_group.control_statements import run_control
from standins.database_group.data_request import DataRequest, parse_data
from standins.database_group.group_member import GroupMember
from standins.database_group.log_entry import KeptWrite
from standins.database_group.member_log import position_text
from standins.database_group.receipt_log import Receipt
from standins.database_group.request_identity import RequestIdentity
from standins.database_group.rule_checks import OWNER_KEY, StatementContext
from standins.database_group.session_definitions import SessionDefinitions
from standins.database_group.signature import sign
from standins.database_group.statement_result import (
    MALFORMED,
    Done,
    Refusal,
    Result,
)

_CONNECTION_NUMBERS: Final = itertools.count(1)
_NOT_PRIMARY: Final = 'READONLY'
_QUEUE_FULL: Final = Refusal('RETRY', 'the queue is full')
_TRANSACTION_END_WORDS: Final = frozenset(('COMMIT', 'ROLLBACK'))
_ABSENT_CONTENT: Final = '-'
# Reads return up to this number minus 1 rows after the first two, so that the
# loss of a row of an answer can be tested.
_FILLER_ROW_MODULUS: Final = 3


@final
@attrs.define(eq=False)
class OpenTransaction:
    """A transaction and its writes so far.

    Attributes
    ----------
    term
        Term of the member at the start of the transaction.
    identity
        Request identity of the first statement; None before it.
    """

    is_read_only: bool
    term: int
    identity: RequestIdentity | None = None
    writes: list[KeptWrite] = attrs.field(factory=list)
    has_failed: bool = False


@final
class MemberSession:
    """Transaction and definitions of one connection.

    Attributes
    ----------
    last_active_s
        Time at which the latest statement began or ended.
    """

    def __init__(self, member: GroupMember) -> None:
        """Start without a transaction."""
        self.number: Final = next(_CONNECTION_NUMBERS)
        self.transaction: OpenTransaction | None = None
        self.last_active_s = time.monotonic()
        self._member = member
        self._definitions = SessionDefinitions()

    @property
    def ready_line(self) -> str:
        """Last line of each answer: transaction state and applied position."""
        position = position_text(self._member.log.applied)
        return f'READY {self._state} {position}'

    async def run(self, request_id: str, text: str) -> Result:
        """Run a statement and count a refusal."""
        self.last_active_s = time.monotonic()
        result = await self._run(request_id, text)
        self.last_active_s = time.monotonic()
        if isinstance(result, Refusal):
            self._member.checks.counts[result.code] += 1
            # RETRY means that nothing has run, so the transaction stays open.
            if self.transaction is not None and result.code != _QUEUE_FULL.code:
                self.transaction.has_failed = True
        return result

    def roll_back(self) -> None:
        """End the transaction and discard its writes."""
        self.transaction = None

    @property
    def _state(self) -> str:
        if self.transaction is None:
            return 'I'
        return 'E' if self.transaction.has_failed else 'T'

    async def _run(self, request_id: str, text: str) -> Result:
        word, _, rest = text.partition(' ')
        if self._state == 'E' and word not in _TRANSACTION_END_WORDS:
            return MALFORMED
        match word:
            case 'WAITLSN':
                return await self._run_if_applied(request_id, rest)
            case 'BEGIN':
                return self._begin(rest)
            case 'COMMIT' | 'ROLLBACK' if rest:
                return MALFORMED
            case 'COMMIT':
                return await self._commit(request_id)
            case 'ROLLBACK':
                self.roll_back()
                return Done()
            case 'READ' | 'WRITE' | 'EXECUTE':
                return await self._run_data(request_id, text)
        return await self._run_other(word, rest)

    async def _run_if_applied(self, request_id: str, rest: str) -> Result:
        position, _, text = rest.partition(' ')
        term, _, number = position.partition('.')
        if not (term.isdecimal() and number.isdecimal()):
            return MALFORMED
        word = text.partition(' ')[0]
        if word not in {'READ', 'EXECUTE', 'BEGIN'}:
            return MALFORMED
        applied = position_text(self._member.log.applied)
        if (int(term), int(number)) > self._member.log.applied:
            return Refusal('LAGGING', f'at {applied}')
        return await self._run(request_id, text)

    async def _run_other(self, word: str, rest: str) -> Result:
        match word:
            case 'STATUS' | 'PAUSE' | 'RESUME' | 'STEPDOWN':
                return await run_control(self._member, word, rest)
            case 'DISCARD' if self.transaction is not None:
                return MALFORMED
            case 'SET' | 'PARSE' | 'CLOSE' | 'DISCARD':
                return self._definitions.run(word, rest)
        return MALFORMED

    def _begin(self, rest: str) -> Result:
        if self.transaction is not None or rest not in {'', 'READ'}:
            return MALFORMED
        is_read_only = rest == 'READ'
        if not (is_read_only or self._member.is_primary):
            return self._not_primary()
        self.transaction = OpenTransaction(is_read_only, self._member.log.term)
        return Done()

    async def _run_data(self, request_id: str, text: str) -> Result:
        request = parse_data(text, self._definitions.prepared_statements)
        if isinstance(request, Refusal):
            return request
        term = self._member.log.term
        self._record_receipt(request_id)
        if not self._may_run(request, term):
            return self._not_primary()
        if self._member.slots.is_queue_full:
            return _QUEUE_FULL
        settings = self._member.settings
        mean_ms = settings.write_ms if request.is_write else settings.read_ms
        await self._member.slots.occupy(self._member.draw_duration_s(mean_ms))
        if not self._may_run(request, term):
            return self._not_primary()
        self._check(request_id, text)
        if not request.is_write:
            rows = self._read(request.item)
            return Done(rows, sign(request_id, request.signed_text, rows))
        write = KeptWrite(request_id, request.item, request.content)
        done = Done((), sign(request_id, request.signed_text, ()))
        if self.transaction is None:
            return await self._append_commit([write], done)
        self.transaction.writes.append(write)
        return done

    async def _commit(self, request_id: str) -> Result:
        transaction = self.transaction
        if transaction is None:
            return MALFORMED
        if transaction.has_failed:
            self.roll_back()
            return Refusal('ABORTED', 'the transaction had failed')
        self._record_receipt(request_id)
        if self._member.slots.is_queue_full:
            return _QUEUE_FULL
        mean_ms = self._member.settings.write_ms
        await self._member.slots.occupy(self._member.draw_duration_s(mean_ms))
        has_written = bool(transaction.writes)
        if has_written and not self._member.leads(transaction.term):
            return self._not_primary()
        self._check(request_id, 'COMMIT')
        self.roll_back()
        done = Done((), sign(request_id, 'COMMIT', ()))
        if has_written:
            return await self._append_commit(transaction.writes, done)
        return done

    async def _append_commit(
        self, writes: list[KeptWrite], done: Done
    ) -> Result:
        entry = self._member.log.append(writes, self._member.member_id)
        if await self._member.wait_for_replication(entry):
            entry.is_acknowledged = True
            entry.acknowledged_s = time.monotonic()
            self._member.acknowledged.append(entry)
            return done
        return Refusal('TIMEOUT', 'the commit has not reached a replica')

    def _may_run(self, request: DataRequest, term: int) -> bool:
        transaction = self.transaction
        if transaction is None:
            return not request.is_write or self._member.leads(term)
        if transaction.is_read_only:
            return not request.is_write
        return self._member.leads(transaction.term)

    def _not_primary(self) -> Refusal:
        return Refusal(_NOT_PRIMARY, self._member.member_id)

    def _read(self, item: str) -> tuple[str, ...]:
        found = self._member.log.items.get(item, _ABSENT_CONTENT)
        if self.transaction is not None:
            for write in self.transaction.writes:
                found = write.content if write.item == item else found
        filler_count = len(item) % _FILLER_ROW_MODULUS
        return (
            found,
            position_text(self._member.log.applied),
            *(f'{item}-{number}' for number in range(filler_count)),
        )

    def _record_receipt(self, request_id: str) -> None:
        transaction = self.transaction
        self._member.receipts.add(
            Receipt(
                request_id, self._member.member_id, self._member.draining_ms
            ),
            is_new_work=transaction is None or transaction.identity is None,
        )

    def _check(self, request_id: str, text: str) -> None:
        transaction = self.transaction
        statement_context = StatementContext(
            self._member.member_id,
            self.number,
            self._definitions.values.get(OWNER_KEY, ''),
            transaction is not None,
            transaction.identity if transaction else None,
        )
        self._member.checks.counts[text.partition(' ')[0]] += 1
        identity = self._member.checks.check_statement(
            statement_context, request_id, text
        )
        if transaction is not None and transaction.identity is None:
            transaction.identity = identity
