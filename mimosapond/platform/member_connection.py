"""Connections to members in the platform's wire protocol."""

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
from mimosapond.platform.line_errors import LineStreamError
from mimosapond.platform.line_stream import LineStream
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

# Request id of the product's own requests, as opposed to those of callers.
_INTERNAL_REQUEST_ID: Final = '-'
# Values of the signature field in answers to the product's own requests.
_ABSENT_SIGNATURES: Final = frozenset(('-', ''))


class NoMessageError(Exception):
    """The member sent something that is not a message of the protocol."""


# After one of these errors, the connection cannot be used any more.
CONNECTION_ERRORS: Final = (
    StreamClosedError,
    LineStreamError,
    NoMessageError,
)


@final
class WireMemberConnection:
    """An open connection to a member; implements ``MemberConnection``."""

    def __init__(self, name: str, lines: LineStream) -> None:
        """Use a stream on which the member has answered START with READY.

        Parameters
        ----------
        name
            Name of the connection in logs.
        lines
            The stream; this object closes it.
        """
        self.name: Final = name
        self._lines = lines
        self._state: SessionState | None = SessionState.idle
        self._pending_request_id = ''

    @property
    def is_open(self) -> bool:
        """Whether requests can be sent."""
        return self._lines.is_open

    @property
    def state(self) -> SessionState | None:
        """State after the last answer; None while an answer is incomplete."""
        return self._state

    async def run(
        self,
        request_id: str,
        statement: DirectStatement | Commit,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Run a read or a write, or commit a transaction.

        Parameters
        ----------
        request_id
            The caller's request id, which the member includes in the
            signature of its answer.
        wait_for
            Log position that the member has to apply before it runs the
            statement; None if it need not wait.
        """
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
        """Run a prepared statement; see ``run`` for the parameters."""
        text = _add_wait(wait_for, f'EXECUTE {name} {arguments}')
        return await self._request(request_id, text, limit_s)

    async def begin(
        self,
        statement: Begin,
        wait_for: LogPosition | None,
        limit_s: float,
    ) -> MemberAnswer:
        """Start a transaction.

        A member accepts a transaction that may write only while it is the
        primary, so a completed answer to it confirms the role.
        """
        text = 'BEGIN READ' if statement.is_read_only else 'BEGIN'
        return await self._request(
            _INTERNAL_REQUEST_ID, _add_wait(wait_for, text), limit_s
        )

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """Roll back the open transaction."""
        return await self._request(_INTERNAL_REQUEST_ID, 'ROLLBACK', limit_s)

    async def set_value(
        self, name: str, value: str, limit_s: float
    ) -> MemberAnswer:
        """Set a session variable."""
        return await self._request(
            _INTERNAL_REQUEST_ID, f'SET {name} {value}', limit_s
        )

    async def prepare(
        self, name: str, shape: Shape, limit_s: float
    ) -> MemberAnswer:
        """Define a prepared statement."""
        return await self._request(
            _INTERNAL_REQUEST_ID, encode_prepare(name, shape), limit_s
        )

    async def discard(self, limit_s: float) -> MemberAnswer:
        """Remove all session variables and prepared statements."""
        return await self._request(_INTERNAL_REQUEST_ID, 'DISCARD', limit_s)

    async def status(self, limit_s: float) -> StatusAnswer:
        """Request the member's role and log position."""
        return await self._request_status('STATUS', limit_s)

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Make a replica stop receiving the log, for the election of ``term``."""
        return await self._request_status(f'PAUSE {term}', limit_s)

    async def resume(self, limit_s: float) -> StatusAnswer:
        """Make a paused replica receive the log again."""
        return await self._request_status('RESUME', limit_s)

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Demote a primary of a lower term than ``term`` to a replica."""
        return await self._request_status(f'STEPDOWN {term}', limit_s)

    def close(self) -> None:
        """Close the connection; the member rolls back an open transaction."""
        if self._lines.is_open:
            self._lines.send('TERMINATE')
        self._lines.close()

    async def _request(
        self, request_id: str, text: str, limit_s: float
    ) -> MemberAnswer:
        first_line = self._start_reading(request_id)
        if isinstance(first_line, LinkLost):
            return first_line
        self._pending_request_id = request_id
        self._state = None
        try:
            async with asyncio.timeout(limit_s):
                await self._lines.write(f'QUERY {request_id} {text}')
                answer = await self._read_answer(first_line)
        except TimeoutError:
            return self._disconnect('the member did not answer in time')
        except CONNECTION_ERRORS as error:
            return self._disconnect(repr(error))
        finally:
            self._pending_request_id = ''
            self._lines.release_memory()
            if self._state is None:
                # The rest of this answer would be read as the answer to the
                # next request.
                self._lines.close()
        if _is_mismatched(request_id, answer):
            self._log_mismatch(request_id, str(answer))
            return self._disconnect('the answer belongs to another request')
        return answer

    async def _request_status(self, text: str, limit_s: float) -> StatusAnswer:
        answer = await self._request(_INTERNAL_REQUEST_ID, text, limit_s)
        if not isinstance(answer, Completed):
            return answer
        try:
            return decode_status(answer.rows)
        except ValueError as error:
            return self._disconnect(f'the status could not be decoded: {error}')

    def _start_reading(
        self, request_id: str
    ) -> asyncio.Future[bytes] | LinkLost:
        """Start to read the answer, before the request is sent.

        Data that arrived before the request cannot be its answer, so the
        connection is closed if there is any.
        """
        if self._pending_request_id:
            return self._reject_concurrent_request(request_id)
        try:
            first_line = self._lines.start_read()
        except StreamClosedError as error:
            return self._disconnect(repr(error), was_sent=False)
        if not first_line.done():
            return first_line
        failure = first_line.exception()
        if failure is None:
            self._log_mismatch(request_id, repr(first_line.result()))
            return self._disconnect(
                'the member sent data before the request', was_sent=False
            )
        return self._disconnect(repr(failure), was_sent=False)

    def _reject_concurrent_request(self, request_id: str) -> LinkLost:
        """Close, as the answers could not be assigned to the two requests."""
        logger.bind(
            connection=self.name,
            request=request_id,
            under_way=self._pending_request_id,
        ).error('connection_shared')
        return self._disconnect('another request was in flight', was_sent=False)

    def _log_mismatch(self, request_id: str, answer: str) -> None:
        logger.bind(
            connection=self.name, request=request_id, answer=answer
        ).error('answer_out_of_step')

    def _disconnect(self, reason: str, *, was_sent: bool = True) -> LinkLost:
        self._state = None
        self._lines.close()
        return LinkLost(reason, was_sent=was_sent)

    async def _read_answer(
        self, first_line: asyncio.Future[bytes]
    ) -> MemberAnswer:
        rows: list[str] = []
        line = await self._lines.finish_read(first_line)
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
    """Return whether an answer cannot belong to the request.

    Members sign their answers to callers' requests, but not their answers to
    the product's own requests.
    """
    if not isinstance(answer, Completed):
        return False
    is_signed = answer.signature not in _ABSENT_SIGNATURES
    return is_signed != (request_id != _INTERNAL_REQUEST_ID)


def _add_wait(position: LogPosition | None, text: str) -> str:
    if position is None:
        return text
    return f'WAITLSN {encode_position(position)} {text}'


def decode_rejection(
    rest: str, state: SessionState, position: LogPosition | None
) -> Rejected:
    """Decode an ERROR line; ``rest`` is the text after the word ERROR."""
    code, _, text = rest.partition(' ')
    kind = REJECTION_KINDS.get(code, RejectionKind.other)
    return Rejected(kind, f'{code} {text}', state, position)
