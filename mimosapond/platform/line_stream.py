"""Lines of the platform's wire on a TCP stream."""

import asyncio
from typing import Final, final

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

MAX_LINE_BYTES: Final = 1024 * 1024
LINE_END: Final = b'\r\n'
# Beyond this, tornado closes the stream, and no error can be told.
_BUFFER_BYTES: Final = 2 * MAX_LINE_BYTES


class LineTooLongError(Exception):
    """The other end sent more than a message may hold."""


class LineUnreadableError(Exception):
    """The other end sent bytes that are no text."""


@final
class LineStream:
    """Reads and writes lines of text."""

    def __init__(self, stream: IOStream) -> None:
        """Take an open stream."""
        self._stream = stream
        stream.set_nodelay(True)  # noqa: FBT003 -- tornado's own signature

    @property
    def is_open(self) -> bool:
        """Whether neither end has closed."""
        return not self._stream.closed()

    def start_read(self) -> asyncio.Future[bytes]:
        """Begin to read; done at once if a line or the end is there already."""
        pending = self._stream.read_until(LINE_END, max_bytes=_BUFFER_BYTES)
        return asyncio.ensure_future(pending)

    async def read(self) -> str:
        """Return the next line without its end.

        Raises
        ------
        StreamClosedError
            The other end closed.
        LineTooLongError, LineUnreadableError
            The line is no message.
        """
        return await self.finish_read(self.start_read())

    async def finish_read(self, pending: asyncio.Future[bytes]) -> str:
        """Return the line of a read that was begun; see ``read``."""
        try:
            line = await pending
        except StreamClosedError as error:
            if isinstance(error.real_error, UnsatisfiableReadError):
                raise LineTooLongError from error
            raise
        if len(line) > MAX_LINE_BYTES:
            raise LineTooLongError
        return _decode(line)

    async def write(self, *lines: str) -> None:
        """Send lines in one piece."""
        text = ''.join(f'{line}\r\n' for line in lines)
        await self._stream.write(text.encode())

    def send(self, *lines: str) -> None:
        """Queue lines without waiting until they are sent."""
        text = ''.join(f'{line}\r\n' for line in lines)
        asyncio.ensure_future(self._stream.write(text.encode()))

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


def _decode(line: bytes) -> str:
    try:
        return line[: -len(LINE_END)].decode()
    except UnicodeDecodeError as error:
        raise LineUnreadableError from error
