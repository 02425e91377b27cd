"""Reads and writes the lines of the platform's wire protocol over TCP."""

import asyncio
import socket
from typing import Final, final

from tornado.iostream import IOStream, StreamClosedError, UnsatisfiableReadError

MAX_LINE_BYTES: Final = 1024 * 1024
LINE_END: Final = b'\r\n'
# tornado closes the stream when a line exceeds this, so the error for a line
# that is too long can be sent only below this length.
_BUFFER_BYTES: Final = 2 * MAX_LINE_BYTES


class LineTooLongError(Exception):
    """The other side sent a line longer than ``MAX_LINE_BYTES``."""


class LineUnreadableError(Exception):
    """The other side sent a line that is not valid UTF-8."""


@final
class LineStream:
    """Reads and writes lines of UTF-8 text on one connection."""

    def __init__(self, stream: IOStream) -> None:
        """Use an open stream, and disable Nagle's algorithm on it."""
        self._stream = stream
        self._next_line: asyncio.Future[bytes] | None = None
        stream.set_nodelay(True)  # noqa: FBT003 -- tornado's own signature

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return not self._stream.closed()

    def start_read(self) -> asyncio.Future[bytes]:
        """Start to read a line.

        Returns
        -------
        asyncio.Future
            Already done if a line is buffered or the connection is closed.
            Pass it to ``finish_read``.
        """
        pending = self._stream.read_until(LINE_END, max_bytes=_BUFFER_BYTES)
        self._next_line = asyncio.ensure_future(pending)
        return self._next_line

    async def read(self) -> str:
        """Return the next line without its line terminator.

        Raises
        ------
        StreamClosedError
            The connection was closed.
        LineTooLongError, LineUnreadableError
            The line cannot be a message.
        """
        return await self.finish_read(self.start_read())

    async def finish_read(self, pending: asyncio.Future[bytes]) -> str:
        """Return the line of a started read; raises as ``read`` does."""
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
        """Write the lines in one call and wait until they are sent."""
        text = ''.join(f'{line}\r\n' for line in lines)
        await self._stream.write(text.encode())

    def send(self, *lines: str) -> None:
        """Write the lines without waiting until they are sent."""
        text = ''.join(f'{line}\r\n' for line in lines)
        asyncio.ensure_future(self._stream.write(text.encode()))

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def close_unless_received(self) -> None:
        """Close the connection, unless the other side has sent something.

        A line may have been read whose reader has not run yet, or may wait in
        the socket. Its sender would get no answer if the connection were
        closed now.
        """
        is_line_read = self._next_line is not None and self._next_line.done()
        if not (is_line_read or self._has_unread_bytes()):
            self._stream.close()

    def _has_unread_bytes(self) -> bool:
        if self._stream.closed():
            return False
        try:
            return bool(self._stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False


def _decode(line: bytes) -> str:
    try:
        return line[: -len(LINE_END)].decode()
    except UnicodeDecodeError as error:
        raise LineUnreadableError from error
