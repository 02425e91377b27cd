"""Connections to members on the platform's wire."""

import asyncio
from typing import Final, final

from loguru import logger
from tornado.iostream import StreamClosedError

from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.member_port import StatusAnswer
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
from mimosapond.platform.status_codec import decode_status
from mimosapond.platform.wire_names import REJECTION_KINDS, SESSION_STATES
from mimosapond.statements.reply import SessionState
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Shape,
)

# Requests of the product itself, which no caller sent.
_INTERNAL_REQUEST_ID: Final = '-'
# In place of a signature, in answers to them.
_NO_SIGNATURE: Final = frozenset(('-', ''))


class NoMessageError(Exception):
    """The member sent something that is no message of the wire."""


# No further request can be made on a connection that raised one of these.
CONNECTION_ERRORS: Final = (
    StreamClosedError,
    LineTooLongError,
    LineUnreadableError,
    NoMessageError,
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
        self._pending_request_id = ''

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
        statement: DirectStatement | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a read, a write or the end of a transaction."""
        text = 'COMMIT' if isinstance(statement, Commit) else statement.text
        return await self._request(
            request_id, _add_wait(wait_for, text), limit_s
        )

    async def run_prepared(
        self,
        request_id: str,
        name: str,
        arguments: str,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a prepared name."""
        text = _add_wait(wait_for, f'EXECUTE {name} {arguments}')
        return await self._request(request_id, text, limit_s)

    async def begin(
        self,
        statement: Begin,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Start a transaction; a plain one proves that the member leads."""
        text = 'BEGIN READ' if statement.is_read_only else 'BEGIN'
        return await self._request(
            _INTERNAL_REQUEST_ID, _add_wait(wait_for, text), limit_s
        )

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """End a transaction without keeping it."""
        return await self._request(_INTERNAL_REQUEST_ID, 'ROLLBACK', limit_s)

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Assign a session value."""
        return await self._request(
            _INTERNAL_REQUEST_ID, f'SET {name} {value}', limit_s
        )

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Define a prepared name."""
        return await self._request(
            _INTERNAL_REQUEST_ID, encode_prepare(name, shape), limit_s
        )

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Clear the session values and prepared names."""
        return await self._request(_INTERNAL_REQUEST_ID, 'DISCARD', limit_s)

    async def status(self, limit_s: float) -> StatusAnswer:
        """Ask for role and log position."""
        return await self._request_status('STATUS', limit_s)

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop a replica from receiving."""
        return await self._request_status(f'PAUSE {term}', limit_s)

    async def resume(self, limit_s: float) -> StatusAnswer:
        """Let a paused replica receive again."""
        return await self._request_status('RESUME', limit_s)

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Make a primary of a lower term a replica."""
        return await self._request_status(f'STEPDOWN {term}', limit_s)

    def close(self) -> None:
        """Close; the member rolls back an open transaction."""
        if self._lines.is_open:
            self._lines.send('TERMINATE')
        self._lines.close()

    async def _request(
        self, request_id: str, text: str, limit_s: float
    ) -> MemberAnswer:
        first = self._start_reading(request_id)
        if isinstance(first, LinkLost):
            return first
        self._pending_request_id = request_id
        self._state = None
        try:
            async with asyncio.timeout(limit_s):
                await self._lines.write(f'QUERY {request_id} {text}')
                answer = await self._read_answer(first)
        except TimeoutError:
            return self._disconnect('no answer in time')
        except CONNECTION_ERRORS as error:
            return self._disconnect(repr(error))
        finally:
            self._pending_request_id = ''
            if self._state is None:
                # The rest of an answer would be taken for the next one.
                self._lines.close()
        if _is_mismatched(request_id, answer):
            self._log_mismatch(request_id, str(answer))
            return self._disconnect('the answer was of another request')
        return answer

    async def _request_status(self, text: str, limit_s: float) -> StatusAnswer:
        answer = await self._request(_INTERNAL_REQUEST_ID, text, limit_s)
        if not isinstance(answer, Completed):
            return answer
        try:
            return decode_status(answer.rows)
        except ValueError as error:
            return self._disconnect(f'a status that cannot be read: {error}')

    def _start_reading(
        self, request_id: str
    ) -> asyncio.Future[bytes] | LinkLost:
        """Start to read the answer; nothing may be there before the request."""
        if self._pending_request_id:
            return self._reject_concurrent_request(request_id)
        try:
            first = self._lines.start_read()
        except StreamClosedError as error:
            return self._disconnect(repr(error), was_sent=False)
        if not first.done():
            return first
        failure = first.exception()
        if failure is None:
            self._log_mismatch(request_id, repr(first.result()))
            return self._disconnect('an answer came unasked', was_sent=False)
        return self._disconnect(repr(failure), was_sent=False)

    def _reject_concurrent_request(self, request_id: str) -> LinkLost:
        """Close, as it is not known whose answer comes first."""
        logger.bind(
            connection=self.name,
            request=request_id,
            under_way=self._pending_request_id,
        ).error('connection_shared')
        return self._disconnect('another request was under way', was_sent=False)

    def _log_mismatch(self, request_id: str, answer: str) -> None:
        logger.bind(
            connection=self.name, request=request_id, answer=answer
        ).error('answer_out_of_step')

    def _disconnect(self, reason: str, *, was_sent: bool = True) -> LinkLost:
        self._state = None
        self._lines.close()
        return LinkLost(reason, was_sent=was_sent)

    async def _read_answer(self, first: asyncio.Future[bytes]) -> MemberAnswer:
        rows: list[str] = []
        line = await self._lines.finish_read(first)
        while True:
            word, _, rest = line.partition(' ')
            match word:
                case 'DATAROW':
                    rows.append(rest)
                case 'COMPLETE':
                    state, position = await self._read_ready()
                    return Completed(tuple(rows), rest, state, position)
                case 'ERROR':
                    state, position = await self._read_ready()
                    return decode_rejection(rest, state, position)
                case _:
                    raise NoMessageError(word)
            line = await self._lines.read()

    async def _read_ready(self) -> tuple[SessionState, LogPosition | None]:
        fields = (await self._lines.read()).split(' ')
        if len(fields) != 3 or fields[0] != 'READY':
            raise NoMessageError(fields[0])
        state = SESSION_STATES.get(fields[1])
        if state is None:
            raise NoMessageError(fields[1])
        try:
            position = decode_position(fields[2])
        except ValueError as error:
            raise NoMessageError('position') from error
        self._state = state
        return state, position


def _is_mismatched(request_id: str, answer: MemberAnswer) -> bool:
    """Return whether the answer belongs to a request of the other kind.

    Members sign what they did for callers, and nothing else.
    """
    if not isinstance(answer, Completed):
        return False
    is_signed = answer.signature not in _NO_SIGNATURE
    return is_signed != (request_id != _INTERNAL_REQUEST_ID)


def _add_wait(position: LogPosition | None, text: str) -> str:
    if position is None:
        return text
    return f'WAITLSN {encode_position(position)} {text}'


def decode_rejection(
    rest: str, state: SessionState, position: LogPosition | None
) -> Rejected:
    """Return the rejection that the text after the word ERROR tells."""
    code, _, text = rest.partition(' ')
    kind = REJECTION_KINDS.get(code, RejectionKind.other)
    return Rejected(kind, f'{code} {text}', state, position)
