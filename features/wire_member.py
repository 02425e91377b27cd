"""A member in the platform's wire protocol, with transactions.

The member answers the requests of a connection in order of arrival and keeps
the state of each connection. It enforces the rules of the protocol and records
requests that break them. No caller may make the product send such a request.
"""

import asyncio
import collections
from collections.abc import Callable, Iterator
from typing import Final, final

import attrs
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

_LINE_END: Final = b'\r\n'
_LOOPBACK: Final = '127.0.0.1'
_POLL_S: Final = 0.002
_END_WORDS: Final = frozenset(('COMMIT', 'ROLLBACK'))
_MALFORMED: Final = 'ERROR MALFORMED state'
_DONE: Final = 'COMPLETE -'


@final
@attrs.frozen
class Request:
    """A request as it arrived; ``text`` is without its WAITLSN prefix."""

    request_id: str
    text: str

    @property
    def word(self) -> str:
        """The first word."""
        return self.text.partition(' ')[0]


@final
@attrs.frozen
class ExecutedStatement:
    """A read or a write that ran, with the session variables at that time."""

    request_id: str
    values: dict[str, str]


@final
@attrs.define
class Refusal:
    """Makes the member answer requests with an error.

    Parameters
    ----------
    part
        Requests whose text contains this are refused.
    state
        The connection's state after the error.
    count
        Number of requests that are refused.
    until
        A request whose text contains this ends the refusals; empty for none.
    """

    part: str
    code: str
    state: str
    count: int = 1
    until: str = ''


@final
@attrs.define(eq=False)
class WireSession:
    """The member's side of one connection."""

    stream: IOStream
    state: str = 'I'
    is_open: bool = True
    requests: collections.deque[Request] = attrs.field(
        factory=collections.deque
    )
    values: dict[str, str] = attrs.field(factory=dict)
    # Request ids of the statements of the open transaction.
    transaction: list[str] = attrs.field(factory=list)
    uncommitted: list[str] = attrs.field(factory=list)


@final
class WireMember(TCPServer):
    """A member whose state and answers are set by tests."""

    def __init__(self, member_id: str, *, is_primary: bool) -> None:
        """Create a member without connections and faults."""
        super().__init__()
        self.member_id = member_id
        self.is_primary = is_primary
        self.log_number = 1
        self.sessions: list[WireSession] = []
        # Requests that arrived while another request of their connection
        # was in flight.
        self.overlaps: list[Request] = []
        # Request ids of the writes that are committed.
        self.committed: list[str] = []
        self.executed: list[ExecutedStatement] = []
        # Request ids of the statements of each transaction that was open.
        self.transactions: list[list[str]] = []
        self.refusals: list[Refusal] = []
        self.arrived: list[Request] = []
        # A request whose text contains one of these is not answered until
        # the entry is removed.
        self.blocked_parts: set[str] = set()
        # Lines that replace the next answer to a request with this first
        # word. The request is still executed.
        self.replaced_answers: dict[str, list[str]] = {}
        # The next answer to a request with one of these first words is sent
        # twice.
        self.repeated_words: set[str] = set()
        # Called with each request immediately before its answer is sent.
        self.watchers: list[Callable[[Request], None]] = []

    @property
    def open_sessions(self) -> list[WireSession]:
        """Connections that are open."""
        return [session for session in self.sessions if session.is_open]

    @property
    def position(self) -> str:
        """The log position, as it is written in the protocol."""
        return f'1.{self.log_number}'

    def open_port(self) -> int:
        """Listen at a free port and return it."""
        sockets = bind_sockets(0, _LOOPBACK)
        self.add_sockets(sockets)
        return int(sockets[0].getsockname()[1])

    async def await_arrival(self, part: str, count: int = 1) -> None:
        """Wait until requests whose texts contain ``part`` have arrived."""
        while self.count_arrived(part) < count:
            await asyncio.sleep(_POLL_S)

    def count_arrived(self, part: str) -> int:
        """Count requests whose texts contain ``part``."""
        return sum(part in request.text for request in self.arrived)

    def close_sessions(self) -> None:
        """Close all connections."""
        for session in self.open_sessions:
            session.stream.close()

    def sign(self, request_id: str) -> str:
        """Return the signature of the answer to a request."""
        return f'{self.member_id}.{request_id}'

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Serve a connection; closing it rolls back its transaction."""
        session = WireSession(stream)
        self.sessions.append(session)
        await stream.read_until(_LINE_END)
        worker = asyncio.create_task(self._work(stream, session))
        try:
            await stream.write(f'READY I {self.position}\r\n'.encode())
            await self._receive(stream, session)
        except StreamClosedError:
            session.is_open = False
        finally:
            worker.cancel()
            session.is_open = False

    async def _receive(self, stream: IOStream, session: WireSession) -> None:
        while True:
            line = (await stream.read_until(_LINE_END)).decode().strip()
            if line == 'TERMINATE':
                stream.close()
                return
            request = _decode(line)
            self.arrived.append(request)
            if session.requests:
                self.overlaps.append(request)
            session.requests.append(request)

    async def _work(self, stream: IOStream, session: WireSession) -> None:
        while True:
            if not session.requests:
                await asyncio.sleep(_POLL_S)
                continue
            request = session.requests[0]
            while any(part in request.text for part in self.blocked_parts):
                await asyncio.sleep(_POLL_S)
            lines = self._build_response(session, request)
            session.requests.popleft()
            text = ''.join(f'{line}\r\n' for line in lines)
            for watcher in self.watchers:
                watcher(request)
            await stream.write(text.encode())

    def _build_response(
        self, session: WireSession, request: Request
    ) -> list[str]:
        lines = list(self._answer(session, request))
        lines.append(f'READY {session.state} {self.position}')
        if request.word in self.repeated_words:
            self.repeated_words.discard(request.word)
            lines.extend(tuple(lines))
        return self.replaced_answers.pop(request.word, lines)

    def _answer(self, session: WireSession, request: Request) -> Iterator[str]:
        refusal = self._find_refusal(request)
        if refusal:
            session.state = refusal.state
            yield f'ERROR {refusal.code} {self.member_id}'
        elif session.state == 'E' and request.word not in _END_WORDS:
            yield _MALFORMED
        else:
            yield from self._execute(session, request)

    def _find_refusal(self, request: Request) -> Refusal | None:
        for refusal in self.refusals:
            if refusal.until and refusal.until in request.text:
                refusal.count = 0
            if refusal.count > 0 and refusal.part in request.text:
                refusal.count -= 1
                return refusal
        return None

    def _execute(self, session: WireSession, request: Request) -> Iterator[str]:
        match request.word:
            case 'READ' | 'WRITE':
                yield from self._read_or_write(session, request)
            case 'BEGIN' | 'COMMIT' | 'ROLLBACK':
                yield self._begin_or_end(session, request)
            case 'SET':
                _, name, value = request.text.split(' ', 2)
                session.values[name] = value
                yield _DONE
            case 'DISCARD':
                session.values.clear()
                yield _DONE
            case 'STATUS':
                role = 'primary' if self.is_primary else 'replica'
                yield f'DATAROW {role} 1 {self.position} 0 0 0 1'
                yield _DONE
            case _:
                yield _MALFORMED

    def _read_or_write(
        self, session: WireSession, request: Request
    ) -> Iterator[str]:
        is_write = request.word == 'WRITE'
        if is_write and not self.is_primary:
            # A transaction that writes cannot go on at a member that is not
            # the primary, so the member marks it as failed.
            session.state = 'E' if session.state == 'T' else session.state
            yield f'ERROR READONLY {self.member_id}'
            return
        self.executed.append(
            ExecutedStatement(request.request_id, dict(session.values))
        )
        if session.state == 'T':
            session.transaction.append(request.request_id)
        if is_write:
            writes = (
                session.uncommitted if session.state == 'T' else self.committed
            )
            writes.append(request.request_id)
            self.log_number += 1
        else:
            yield f'DATAROW row-{request.request_id}'
        yield f'COMPLETE {self.sign(request.request_id)}'

    def _begin_or_end(self, session: WireSession, request: Request) -> str:
        """Begin or end a transaction and return the answer line."""
        if request.word == 'BEGIN':
            return self._begin(session, request)
        was_open = session.state == 'T'
        session.state = 'I'
        uncommitted = session.uncommitted
        session.uncommitted = []
        if request.word == 'ROLLBACK':
            return _DONE
        if not was_open:
            return f'ERROR ABORTED {self.member_id}'
        self.committed.extend(uncommitted)
        return f'COMPLETE {self.sign(request.request_id)}'

    def _begin(self, session: WireSession, request: Request) -> str:
        if session.state != 'I':
            return _MALFORMED
        if request.text == 'BEGIN' and not self.is_primary:
            return f'ERROR READONLY {self.member_id}'
        session.state = 'T'
        session.transaction = []
        self.transactions.append(session.transaction)
        return _DONE


def _decode(line: str) -> Request:
    _, request_id, text = line.split(' ', 2)
    if text.startswith('WAITLSN '):
        text = text.split(' ', 2)[-1]
    return Request(request_id, text)
