"""A caller's connection on the platform's wire."""

import asyncio
from typing import Final, Self, TypeAlias, final

import attrs

_LINE_LIMIT_BYTES: Final = 1 << 20
# After this, a caller gives its connection up.
_START_LIMIT_S: Final = 2.0
_NAME: Final = 'soak'
_ROW: Final = 'DATAROW '
_READY: Final = 'READY '


@final
@attrs.frozen
class Done:
    """A success."""

    rows: tuple[str, ...]
    signature: str
    state: str


@final
@attrs.frozen
class Refused:
    """An error, told by its code."""

    code: str
    text: str
    state: str


@final
@attrs.frozen
class Lost:
    """No answer, or one that is no answer."""

    reason: str


Answer: TypeAlias = Done | Refused | Lost


@final
class CallerLink:
    """One request at a time; ``unasked`` holds what came without any."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Take an open connection."""
        self._writer = writer
        self._lines: asyncio.Queue[str | None] = asyncio.Queue()
        self._receiver = asyncio.create_task(self._receive(reader))
        self._is_open = True

    @classmethod
    async def open(cls, ip: str, port: int, database: str) -> Self | None:
        """Return a link whose session has started."""
        try:
            async with asyncio.timeout(_START_LIMIT_S):
                reader, writer = await asyncio.open_connection(
                    ip, port, limit=_LINE_LIMIT_BYTES
                )
        except (OSError, TimeoutError):
            return None
        link = cls(reader, writer)
        writer.write(f'START {database} {_NAME}\r\n'.encode())
        try:
            async with asyncio.timeout(_START_LIMIT_S):
                line = await link._lines.get()
        except TimeoutError:
            line = None
        if line is not None and line.startswith(_READY):
            return link
        link.close()
        return None

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed."""
        return self._is_open and not self._receiver.done()

    async def ask(self, request_id: str, text: str, limit_s: float) -> Answer:
        """Make a request; the link is closed if it is not answered."""
        self._writer.write(f'QUERY {request_id} {text}\r\n'.encode())
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._answer()
        except TimeoutError:
            answer = Lost('no answer in time')
        if isinstance(answer, Lost):
            self.close()
        return answer

    def unasked(self) -> list[str]:
        """Return messages that came while no request was under way."""
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

    async def _answer(self) -> Answer:
        rows: list[str] = []
        line = await self._lines.get()
        while line is not None and line.startswith(_ROW):
            rows.append(line.removeprefix(_ROW))
            line = await self._lines.get()
        if line is None:
            return Lost('the host closed')
        ready = await self._lines.get() or ''
        if not ready.startswith(_READY):
            return Lost(f'not the end of an answer: {ready}')
        return _decoded(tuple(rows), line, ready.split(' ')[1])

    async def _receive(self, reader: asyncio.StreamReader) -> None:
        try:
            while line := await reader.readline():
                if not line.endswith(b'\r\n'):
                    break
                self._lines.put_nowait(line[:-2].decode())
        except (OSError, ValueError):
            # A broken connection is the end of what the host says.
            self._is_open = False
        finally:
            self._lines.put_nowait(None)


def _decoded(rows: tuple[str, ...], line: str, state: str) -> Answer:
    word, _, rest = line.partition(' ')
    match word:
        case 'COMPLETE':
            return Done(rows, rest, state)
        case 'ERROR':
            code, _, text = rest.partition(' ')
            return Refused(code, text, state)
    return Lost(f'not an answer: {line}')
