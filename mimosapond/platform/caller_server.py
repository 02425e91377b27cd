"""Server side of callers' connections, in the platform's wire protocol."""

import asyncio
from typing import Final, final

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from mimosapond.entry.definition_share import DefinitionShare
from mimosapond.entry.host_resources import HostResources, default_resources
from mimosapond.entry.memory_lanes import MemoryAccount
from mimosapond.entry.refusal_log import RefusalCause
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.platform.line_errors import (
    AnswerUnreadError,
    LineStalledError,
    LineStreamError,
    LineTooLongError,
    MemoryRefusedError,
)
from mimosapond.platform.line_stream import CHUNK_BYTES, LineStream
from mimosapond.platform.statement_codec import decode_statement
from mimosapond.platform.wire_names import FAILURE_CODES, STATE_LETTERS
from mimosapond.sessions.session import Session
from mimosapond.statements.reply import (
    Failure,
    FailureKind,
    Reply,
    SessionState,
    Success,
)

# Stands for an absent signature, and for the log position in a READY line,
# since the product reports none to callers.
_ABSENT: Final = '-'
_MALFORMED_MESSAGE: Final = Failure(
    FailureKind.malformed, 'not a message of the protocol; see docs/platform.md'
)
_MESSAGE_TOO_LARGE: Final = Failure(
    FailureKind.too_large, 'the message is longer than 1 MiB; split it'
)
_NO_MEMORY: Final = Failure(
    FailureKind.not_run,
    'the host has no memory for a large message; retry after 1000 ms',
)
_NO_MEMORY_FOR_VALUE: Final = Failure(
    FailureKind.not_run,
    'the host has no memory for more values of sessions; retry after 1000 ms',
)
_TOO_MANY_CONNECTIONS: Final = Failure(
    FailureKind.not_run,
    'the host has too many connections; retry after 1000 ms',
)


class _ProtocolError(Exception):
    """The caller gets ``failure`` and its connection is closed."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure)
        self.failure = failure


@final
class CallerServer(TCPServer):
    """Accepts connections of callers and serves each in its own task."""

    def __init__(
        self,
        sessions: SessionRegistry,
        resources: HostResources | None = None,
    ) -> None:
        """Create the server; the sessions are opened in ``sessions``.

        Parameters
        ----------
        resources
            Memory, connections and time limits; by default, those of a host
            whose settings name none.
        """
        super().__init__(read_chunk_size=CHUNK_BYTES)
        self._sessions = sessions
        self._resources = resources or default_resources()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Serve one connection until either side closes it."""
        connection = _CallerConnection(stream, self._sessions, self._resources)
        try:
            with self._sessions.connected():
                await connection.serve()
        except StreamClosedError:
            logger.bind(caller=address[0]).debug('caller_left')
        except Exception:  # noqa: BLE001 -- one caller must not affect others
            logger.bind(caller=address[0]).exception('caller_link_failed')
        finally:
            connection.close()


@final
class _CallerConnection:
    def __init__(
        self,
        stream: IOStream,
        sessions: SessionRegistry,
        resources: HostResources,
    ) -> None:
        times = resources.times
        self._lines = LineStream(
            stream,
            MemoryAccount(resources.requests),
            MemoryAccount(resources.answers),
            times.message_s,
            times.answer_s,
        )
        self._sessions = sessions
        self._resources = resources
        self._definitions = DefinitionShare(resources.definitions)
        self._session: Session | None = None
        self._task: asyncio.Task[Reply] | None = None

    async def serve(self) -> None:
        if not self._resources.connections.admit(self._close_without_session):
            self._resources.refusals.record(RefusalCause.connections)
            self._lines.send(_encode_error(_TOO_MANY_CONNECTIONS))
            return
        try:
            session = await self._open_session()
            while await self._serve_request(session):
                if self._sessions.should_close(session):
                    self._sessions.close_soon(session)
        except _ProtocolError as error:
            self._lines.send(_encode_error(error.failure))
        except LineStreamError as error:
            self._refuse(error)

    def close(self) -> None:
        self._resources.connections.leave(self._close_without_session)
        self._lines.release_memory()
        self._definitions.release()
        self._lines.close()
        if self._session is not None:
            self._sessions.unregister(self._session)
            self._session.close()

    async def _open_session(self) -> Session:
        word, _, rest = (await self._read_start()).partition(' ')
        database, _, credentials = rest.partition(' ')
        key = credentials.partition(' ')[0]
        if word != 'START' or not database:
            raise _ProtocolError(_MALFORMED_MESSAGE)
        session = self._sessions.open(database, key)
        if isinstance(session, Failure):
            raise _ProtocolError(session)
        self._session = session
        self._resources.connections.start_session(self._close_without_session)
        self._sessions.register(session, self._lines.close_unless_received)
        with self._sessions.serving(session):
            await self._lines.write(_encode_ready(session.state))
        return session

    async def _serve_request(self, session: Session) -> bool:
        word, _, rest = (await self._lines.read()).partition(' ')
        if word == 'TERMINATE':
            return False
        request_id, _, text = rest.partition(' ')
        if word != 'QUERY' or not request_id or not text:
            raise _ProtocolError(_MALFORMED_MESSAGE)
        with self._sessions.serving(session):
            reply = await self._execute(session, request_id, text)
            await self._write_reply(reply, session.state)
        return True

    async def _execute(
        self, session: Session, request_id: str, text: str
    ) -> Reply:
        statement = decode_statement(text)
        if not self._definitions.admit(statement):
            self._resources.refusals.record(RefusalCause.memory)
            return _NO_MEMORY_FOR_VALUE
        return await session.execute(request_id, statement)

    async def _read_start(self) -> str:
        try:
            async with asyncio.timeout(self._resources.times.start_s):
                return await self._lines.read()
        except TimeoutError as error:
            self._resources.refusals.record(RefusalCause.start_timeout)
            raise StreamClosedError from error

    async def _write_reply(self, reply: Reply, state: SessionState) -> None:
        if isinstance(reply, Success) and reply.rows:
            self._lines.charge_memory(sum(map(len, reply.rows)))
        await self._lines.write(*_encode_reply(reply, state))
        self._lines.release_memory()

    def _close_without_session(self) -> None:
        self._resources.refusals.record(RefusalCause.connections)
        self._lines.close()

    def _refuse(self, error: LineStreamError) -> None:
        """Send the reason if it helps the caller; the connection is closed."""
        refusals = self._resources.refusals
        match error:
            case LineTooLongError():
                refusals.record(RefusalCause.too_large)
                self._lines.send(_encode_error(_MESSAGE_TOO_LARGE))
            case MemoryRefusedError():
                refusals.record(RefusalCause.memory)
                self._lines.send(_encode_error(_NO_MEMORY))
            case LineStalledError():
                refusals.record(RefusalCause.message_timeout)
            case AnswerUnreadError():
                refusals.record(RefusalCause.answer_timeout)
            case _:
                self._lines.send(_encode_error(_MALFORMED_MESSAGE))


def _encode_reply(reply: Reply, state: SessionState) -> list[str]:
    match reply:
        case Success(rows=rows, signature=signature):
            return [
                *(f'DATAROW {row}' for row in rows),
                f'COMPLETE {signature or _ABSENT}',
                _encode_ready(state),
            ]
        case Failure():
            return [_encode_error(reply), _encode_ready(state)]


def _encode_ready(state: SessionState) -> str:
    return f'READY {STATE_LETTERS[state]} {_ABSENT}'


def _encode_error(failure: Failure) -> str:
    return f'ERROR {FAILURE_CODES[failure.kind]} {failure.text}'
