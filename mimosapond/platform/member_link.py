"""Connections to members on the platform's wire."""

import asyncio
import itertools
from typing import Final, final

from loguru import logger
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from mimosapond.address_resolver import AddressResolver
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
from mimosapond.platform.line_stream import (
    LineStream,
    LineTooLongError,
    LineUnreadableError,
)
from mimosapond.platform.position_codec import (
    decode_position,
    encode_position,
)
from mimosapond.platform.statement_codec import encode_prepare
from mimosapond.platform.wire_names import REJECTIONS, STATES
from mimosapond.statements.reply import SessionState
from mimosapond.statements.statement import Begin, Commit, Direct, Shape

# Requests of the product itself, which no caller sent.
_OWN_ID: Final = '-'
# In place of a signature, in answers to them.
_UNSIGNED: Final = frozenset(('-', ''))
_CALLER_NAME: Final = 'mimosapond'
_STATUS_FIELDS: Final = 4


class _NoMessageError(Exception):
    """The member sent something that is no message of the wire."""


_BROKEN: Final = (
    StreamClosedError,
    LineTooLongError,
    LineUnreadableError,
    _NoMessageError,
)


@final
class WireMemberConnection:
    """An open connection to a member; see ``MemberConnection``."""

    def __init__(self, name: str, lines: LineStream) -> None:
        """Take a stream on which the member said that it is ready.

        Parameters
        ----------
        name
            Names the connection in logs.
        """
        self.name: Final = name
        self._lines = lines
        self._state: SessionState | None = SessionState.idle
        self._request_id = ''

    @property
    def is_open(self) -> bool:
        """Whether requests can be made."""
        return self._lines.is_open

    @property
    def state(self) -> SessionState | None:
        """State after the last answer; None until it is whole."""
        return self._state

    async def run(
        self,
        request_id: str,
        statement: Direct | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a read, a write or the end of a transaction."""
        text = 'COMMIT' if isinstance(statement, Commit) else statement.text
        return await self._ask(request_id, _after(wait_for, text), limit_s)

    async def run_prepared(
        self,
        request_id: str,
        name: str,
        arguments: str,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a prepared name."""
        text = _after(wait_for, f'EXECUTE {name} {arguments}')
        return await self._ask(request_id, text, limit_s)

    async def begin(
        self,
        statement: Begin,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Start a transaction; a plain one proves that the member leads."""
        text = 'BEGIN READ' if statement.is_read_only else 'BEGIN'
        return await self._ask(_OWN_ID, _after(wait_for, text), limit_s)

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """End a transaction without keeping it."""
        return await self._ask(_OWN_ID, 'ROLLBACK', limit_s)

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Assign a session value."""
        return await self._ask(_OWN_ID, f'SET {name} {value}', limit_s)

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Define a prepared name."""
        return await self._ask(_OWN_ID, encode_prepare(name, shape), limit_s)

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Clear the session values and prepared names."""
        return await self._ask(_OWN_ID, 'DISCARD', limit_s)

    async def status(self, limit_s: float) -> StatusAnswer:
        """Ask for role and log position."""
        return _status(await self._ask(_OWN_ID, 'STATUS', limit_s))

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop a replica from receiving."""
        return _status(await self._ask(_OWN_ID, f'PAUSE {term}', limit_s))

    async def resume(self, limit_s: float) -> StatusAnswer:
        """Let a paused replica receive again."""
        return _status(await self._ask(_OWN_ID, 'RESUME', limit_s))

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Make a primary of a lower term a replica."""
        return _status(await self._ask(_OWN_ID, f'STEPDOWN {term}', limit_s))

    def close(self) -> None:
        """Close; the member rolls back an open transaction."""
        if self._lines.is_open:
            self._lines.send('TERMINATE')
        self._lines.close()

    async def _ask(
        self, request_id: str, text: str, limit_s: float
    ) -> MemberAnswer:
        first = self._begin(request_id)
        if isinstance(first, LinkLost):
            return first
        self._request_id = request_id
        self._state = None
        try:
            async with asyncio.timeout(limit_s):
                await self._lines.write(f'QUERY {request_id} {text}')
                answer = await self._answer(first)
        except TimeoutError:
            return self._lose('no answer in time')
        except _BROKEN as error:
            return self._lose(repr(error))
        finally:
            self._request_id = ''
            if self._state is None:
                # The rest of an answer would be taken for the next one.
                self._lines.close()
        if _is_out_of_step(request_id, answer):
            return self._lose_step(request_id, str(answer))
        return answer

    def _begin(self, request_id: str) -> asyncio.Future[bytes] | LinkLost:
        """Start to read the answer; nothing may be there before the request."""
        if self._request_id:
            return self._refuse_shared(request_id)
        try:
            first = self._lines.start_read()
        except StreamClosedError as error:
            return self._lose(repr(error), was_sent=False)
        if not first.done():
            return first
        failure = first.exception()
        if failure is None:
            self._lose_step(request_id, repr(first.result()))
        return self._lose(repr(failure), was_sent=False)

    def _refuse_shared(self, request_id: str) -> LinkLost:
        """Close, as it is not known whose answer comes first."""
        logger.bind(
            connection=self.name,
            request=request_id,
            under_way=self._request_id,
        ).error('connection_shared')
        return self._lose('another request was under way', was_sent=False)

    def _lose_step(self, request_id: str, answer: str) -> LinkLost:
        logger.bind(
            connection=self.name, request=request_id, answer=answer
        ).error('answer_out_of_step')
        return self._lose('the answer was of another request')

    def _lose(self, reason: str, *, was_sent: bool = True) -> LinkLost:
        self._state = None
        self._lines.close()
        return LinkLost(reason, was_sent=was_sent)

    async def _answer(self, first: asyncio.Future[bytes]) -> MemberAnswer:
        rows: list[str] = []
        line = await self._lines.finish_read(first)
        while True:
            word, _, rest = line.partition(' ')
            match word:
                case 'DATAROW':
                    rows.append(rest)
                case 'COMPLETE':
                    state, position = await self._end()
                    return Completed(tuple(rows), rest, state, position)
                case 'ERROR':
                    state, position = await self._end()
                    return _rejected(rest, state, position)
                case _:
                    raise _NoMessageError(word)
            line = await self._lines.read()

    async def _end(self) -> tuple[SessionState, LogPosition | None]:
        fields = (await self._lines.read()).split(' ')
        if len(fields) != 3 or fields[0] != 'READY':
            raise _NoMessageError(fields[0])
        state = STATES.get(fields[1])
        if state is None:
            raise _NoMessageError(fields[1])
        try:
            position = decode_position(fields[2])
        except ValueError as error:
            raise _NoMessageError('position') from error
        self._state = state
        return state, position


@final
class WireMemberDialer:
    """Opens connections to members; see ``MemberDialer``."""

    def __init__(self, connect_limit_s: float, start_limit_s: float) -> None:
        """Take the limits of the two steps.

        Parameters
        ----------
        connect_limit_s
            Until the network answers; short, as a silent address is common.
        start_limit_s
            Until the member is ready; it may work on others before.
        """
        self._connect_limit_s = connect_limit_s
        self._start_limit_s = start_limit_s
        self._client = TCPClient(AddressResolver())
        self._numbers = itertools.count(1)

    async def dial(
        self, record: MemberRecord
    ) -> WireMemberConnection | Rejected | LinkLost:
        """Open a connection to exactly this life of the member."""
        try:
            stream = await self._client.connect(
                record.ip, record.port, timeout=self._connect_limit_s
            )
        except (OSError, TimeoutError) as error:
            return LinkLost(f'connect: {error!r}')
        lines = LineStream(stream)
        try:
            async with asyncio.timeout(self._start_limit_s):
                return await self._start(lines, record)
        except TimeoutError:
            lines.close()
            return LinkLost('start: no answer in time')
        except _BROKEN as error:
            lines.close()
            return LinkLost(f'start: {error!r}')

    async def _start(
        self, lines: LineStream, record: MemberRecord
    ) -> WireMemberConnection | Rejected:
        await lines.write(
            f'START {record.group} {_CALLER_NAME} {record.member_id}'
        )
        word, _, rest = (await lines.read()).partition(' ')
        if word == 'READY':
            name = f'{record.member_id}#{next(self._numbers)}'
            return WireMemberConnection(name, lines)
        lines.close()
        if word != 'ERROR':
            raise _NoMessageError(word)
        return _rejected(rest, SessionState.idle, None)


def _is_out_of_step(request_id: str, answer: MemberAnswer) -> bool:
    """Return whether the answer belongs to a request of the other kind.

    Members sign what they did for callers, and nothing else.
    """
    if not isinstance(answer, Completed):
        return False
    is_signed = answer.signature not in _UNSIGNED
    return is_signed != (request_id != _OWN_ID)


def _after(position: LogPosition | None, text: str) -> str:
    if position is None:
        return text
    return f'WAITLSN {encode_position(position)} {text}'


def _rejected(
    rest: str, state: SessionState, position: LogPosition | None
) -> Rejected:
    code, _, text = rest.partition(' ')
    kind = REJECTIONS.get(code, RejectionKind.other)
    return Rejected(kind, f'{code} {text}', state, position)


def _status(answer: MemberAnswer) -> StatusAnswer:
    if not isinstance(answer, Completed):
        return answer
    fields = answer.rows[0].split(' ') if answer.rows else []
    if len(fields) < _STATUS_FIELDS:
        return LinkLost('a status without its fields')
    try:
        return _decode_status(fields)
    except ValueError as error:
        return LinkLost(f'a status that cannot be read: {error}')


def _decode_status(fields: list[str]) -> StatusAnswer:
    received = decode_position(fields[2])
    if received is None:
        return LinkLost('a status without a position')
    # The fourth field is the term of the pause that the member holds.
    paused_term = int(fields[3]) if fields[3].isdecimal() else 0
    return MemberStatus(
        is_primary=fields[0] == 'primary',
        term=int(fields[1]),
        received=received,
        paused_term=paused_term,
    )
