"""A caller's connection to a host, in the protocol of the platform."""

import asyncio
from typing import Final, Self, TypeAlias, final

import attrs

_MAX_LINE_BYTES: Final = 1 << 20
# Limit for connecting and, again, for the start of the session.
_CONNECT_TIMEOUT_S: Final = 2.0
_CLIENT_NAME: Final = 'soak'
_ROW: Final = 'DATAROW '
_READY: Final = 'READY '


@final
@attrs.frozen
class Success:
    """Successful answer.

    Attributes
    ----------
    rows
        Rows without their prefix.
    signature
        Signature that the member computed over request and rows.
    state
        Session state: ``I`` if idle, ``T`` if in a transaction.
    """

    rows: tuple[str, ...]
    signature: str
    state: str


@final
@attrs.frozen
class ErrorAnswer:
    """Error answer of a host."""

    code: str
    text: str
    state: str


@final
@attrs.frozen
class NoAnswer:
    """The answer is missing or malformed, so the outcome is unknown.

    Attributes
    ----------
    is_cut
        Whether the host closed the connection while the request was in flight.
    """

    reason: str
    is_cut: bool = False


Answer: TypeAlias = Success | ErrorAnswer | NoAnswer


@final
class CallerConnection:
    """Connection that carries one request at a time."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start to receive lines from an open connection."""
        self._writer = writer
        self._lines: asyncio.Queue[str | None] = asyncio.Queue()
        self._receiver = asyncio.create_task(self._receive(reader))
        self._is_open = True

    @classmethod
    async def open(cls, ip: str, port: int, database: str) -> Self | None:
        """Connect and start a session.

        Returns
        -------
        CallerConnection | None
            None if the host refuses the session or does not answer in time.
        """
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    ip, port, limit=_MAX_LINE_BYTES
                )
        except (OSError, TimeoutError):
            return None
        connection = cls(reader, writer)
        writer.write(f'START {database} {_CLIENT_NAME}\r\n'.encode())
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                line = await connection._lines.get()
        except TimeoutError:
            line = None
        if line is not None and line.startswith(_READY):
            return connection
        connection.close()
        return None

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed the connection."""
        return self._is_open and not self._receiver.done()

    async def ask(self, request_id: str, text: str, timeout_s: float) -> Answer:
        """Send a request and wait for its answer.

        The connection is closed if the answer is missing or malformed.
        """
        self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._read_answer()
        except TimeoutError:
            answer = NoAnswer('no answer in time')
        if isinstance(answer, NoAnswer):
            self.close()
        return answer

    def take_unsolicited(self) -> list[str]:
        """Remove and return lines that came with no request in flight."""
        found: list[str] = []
        while not self._lines.empty():
            line = self._lines.get_nowait()
            if line is None:
                self._is_open = False
            else:
                found.append(line)
        return found

    def close(self) -> None:
        """Close the connection."""
        self._is_open = False
        self._receiver.cancel()
        self._writer.close()

    async def _read_answer(self) -> Answer:
        rows: list[str] = []
        line = await self._lines.get()
        while line is not None and line.startswith(_ROW):
            rows.append(line.removeprefix(_ROW))
            line = await self._lines.get()
        if line is None:
            return NoAnswer('the host closed the connection', is_cut=True)
        ready = await self._lines.get()
        if ready is None:
            return NoAnswer('the answer is incomplete', is_cut=True)
        if not ready.startswith(_READY):
            return NoAnswer(f'expected the end of the answer, got: {ready}')
        return _decode_answer(tuple(rows), line, ready.split(' ')[1])

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                if not line.endswith(b'\r\n'):
                    break
                self._lines.put_nowait(line[:-2].decode())
        except (OSError, ValueError):
            # A broken connection counts as closed by the host.
            self._is_open = False
        finally:
            self._lines.put_nowait(None)


def _decode_answer(rows: tuple[str, ...], line: str, state: str) -> Answer:
    word, _, rest = line.partition(' ')
    match word:
        case 'COMPLETE':
            return Success(rows, rest, state)
        case 'ERROR':
            code, _, text = rest.partition(' ')
            return ErrorAnswer(code, text, state)
    return NoAnswer(f'malformed answer: {line}')
