"""Reads and writes the lines of the platform's wire protocol over TCP."""

import asyncio
import socket
from typing import Final, final

from tornado.iostream import IOStream

from mimosapond.entry.memory_lanes import (
    MEDIUM_BYTES,
    SMALL_BYTES,
    MemoryAccount,
)
from mimosapond.platform.line_errors import (
    AnswerUnreadError,
    LineStalledError,
    LineTooLongError,
    LineUnreadableError,
    MemoryRefusedError,
)

MAX_LINE_BYTES: Final = 1024 * 1024
LINE_END: Final = b'\r\n'
# Bounds the rows of one answer of a member.
_MAX_KEPT_BYTES: Final = 16 * MAX_LINE_BYTES
# Bytes that one stream reads ahead of the line that is decoded.
CHUNK_BYTES: Final = SMALL_BYTES
# The rest of a line that is too long is read without being kept, up to this
# length. A connection that is closed with unread bytes is reset, and its other
# side may lose the error.
_MAX_DISCARDED_BYTES: Final = MAX_LINE_BYTES
# A sender or reader that pauses for longer loses its connection if others wait
# for the memory that its message holds.
_STALL_LIMIT_S: Final = 2.0
# Lines that were there already and are read in a row before other tasks run.
_MAX_READY_COUNT: Final = 8


@final
class LineStream:
    """Reads and writes lines of UTF-8 text on one connection.

    A line that is longer than a few kilobytes is read only as memory for it is
    free. The memory counts as used until ``release_memory``.
    """

    def __init__(
        self,
        stream: IOStream,
        account: MemoryAccount,
        written_account: MemoryAccount,
        message_limit_s: float | None = None,
        answer_limit_s: float | None = None,
    ) -> None:
        """Use an open stream, and disable Nagle's algorithm on it.

        Parameters
        ----------
        account
            Memory of the lines that are read; only this object uses it.
        written_account
            Memory of what is written.
        message_limit_s
            Limit from the first part of a line until its end; None for a
            stream whose reads are limited by its user.
        answer_limit_s
            Limit for the other side to take what is written.
        """
        self._stream = stream
        self._account = account
        self._written_account = written_account
        self._message_limit_s = message_limit_s
        self._answer_limit_s = answer_limit_s
        self._received = bytearray()
        # Bytes of the lines that were returned since ``release_memory``.
        self._kept_bytes = 0
        self._ready_count = 0
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
            Already done if data is buffered or the connection is closed. Pass
            it to ``finish_read``.
        """
        if LINE_END in self._received:
            self._next_line = asyncio.get_running_loop().create_future()
            self._next_line.set_result(b'')
            return self._next_line
        return self._start_chunk(CHUNK_BYTES)

    async def read(self) -> str:
        """Return the next line without its line terminator.

        Raises
        ------
        StreamClosedError
            The connection was closed.
        LineTooLongError, LineUnreadableError
            The line cannot be a message.
        LineStalledError, MemoryRefusedError
            The rest of the line did not come in time, or there is no memory
            for it.
        """
        pending = self.start_read()
        self._ready_count = self._ready_count + 1 if pending.done() else 0
        if self._ready_count > _MAX_READY_COUNT:
            # Awaiting a result that is there does not let other tasks run.
            self._ready_count = 0
            await asyncio.sleep(0)
        return await self.finish_read(pending)

    async def finish_read(self, pending: asyncio.Future[bytes]) -> str:
        """Return the line of a started read; raises as ``read`` does."""
        chunk = await pending
        end = chunk.find(LINE_END)
        if self._is_whole_line(chunk, end):
            # Most requests arrive in one piece and need no buffer.
            self._kept_bytes += end
            return _decode(chunk[:end])
        self._received += chunk
        end = self._received.find(LINE_END)
        if end < 0:
            end = await self._receive_rest()
        if end + len(LINE_END) > MAX_LINE_BYTES:
            raise LineTooLongError
        if self._kept_bytes > SMALL_BYTES:
            await self._reserve(self._kept_bytes + end)
        return self._take_line(end)

    async def write(self, *lines: str) -> None:
        """Write the lines and wait until they are sent.

        Raises
        ------
        AnswerUnreadError
            The other side did not take them in time.
        """
        written = self._write(lines)
        if written.done() or self._answer_limit_s is None:
            await written
            return
        left_s = self._answer_limit_s
        while not written.done():
            if left_s <= 0:
                raise AnswerUnreadError
            await asyncio.wait((written,), timeout=min(left_s, _STALL_LIMIT_S))
            left_s -= _STALL_LIMIT_S
            is_contended = self._written_account.is_contended
            if is_contended and not written.done():
                raise AnswerUnreadError
        await written

    def send(self, *lines: str) -> None:
        """Write the lines without waiting until they are sent."""
        asyncio.ensure_future(self._write(lines))

    def charge_memory(self, size_bytes: int) -> None:
        """Count an answer that is about to be written."""
        self._written_account.charge(size_bytes)

    def release_memory(self) -> None:
        """Stop counting the lines that were read, and what was charged."""
        self._kept_bytes = 0
        self._account.release()
        self._written_account.release()

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

    def _start_chunk(self, size_bytes: int) -> asyncio.Future[bytes]:
        pending = self._stream.read_bytes(size_bytes, partial=True)
        self._next_line = asyncio.ensure_future(pending)
        return self._next_line

    def _is_whole_line(self, chunk: bytes, end: int) -> bool:
        return (
            end >= 0
            and end + len(LINE_END) == len(chunk)
            and not self._received
            and self._kept_bytes <= SMALL_BYTES
        )

    async def _receive_rest(self) -> int:
        """Read until the end of a line, and return the position of the end."""
        try:
            async with asyncio.timeout(self._message_limit_s):
                return await self._receive_until_end()
        except TimeoutError as error:
            raise LineStalledError from error

    async def _receive_until_end(self) -> int:
        end = -1
        while end < 0:
            size_bytes = len(self._received)
            if size_bytes > MAX_LINE_BYTES:
                await self._discard_line()
            await self._reserve(self._kept_bytes + size_bytes)
            self._received += await self._receive_chunk(size_bytes)
            end = self._received.find(LINE_END, max(size_bytes - 1, 0))
        if end > MEDIUM_BYTES and not self._received.isascii():
            if not await self._account.reserve_wide(end):
                raise MemoryRefusedError
        self._account.settle(self._kept_bytes + end)
        return end

    async def _reserve(self, size_bytes: int) -> None:
        if size_bytes > _MAX_KEPT_BYTES:
            raise LineTooLongError
        if not await self._account.reserve(size_bytes):
            raise MemoryRefusedError

    async def _receive_chunk(self, received_bytes: int) -> bytes:
        is_large = received_bytes > SMALL_BYTES
        pending = self._start_chunk(MEDIUM_BYTES if is_large else CHUNK_BYTES)
        while is_large and not pending.done():
            await asyncio.wait((pending,), timeout=_STALL_LIMIT_S)
            if self._is_stalled(pending):
                raise LineStalledError
        return await pending

    def _is_stalled(self, pending: asyncio.Future[bytes]) -> bool:
        return (
            self._message_limit_s is not None
            and not pending.done()
            and self._account.is_contended
        )

    async def _discard_line(self) -> None:
        """Read the rest of a line that is too long, and raise."""
        self._received.clear()
        self._account.release()
        last, discarded_bytes = b'', 0
        while LINE_END not in last and discarded_bytes < _MAX_DISCARDED_BYTES:
            chunk = await self._start_chunk(CHUNK_BYTES)
            discarded_bytes += len(chunk)
            # The end of a line may be split between two chunks.
            last = last[-1:] + chunk
        raise LineTooLongError

    def _take_line(self, end: int) -> str:
        self._kept_bytes += end
        try:
            with memoryview(self._received) as received, received[:end] as line:
                return _decode(line)
        finally:
            del self._received[: end + len(LINE_END)]

    def _write(self, lines: tuple[str, ...]) -> asyncio.Future[None]:
        if sum(map(len, lines)) <= MEDIUM_BYTES:
            text = ''.join(f'{line}\r\n' for line in lines)
            return self._stream.write(text.encode())
        # Joined lines would be a further copy of each.
        for line in lines:
            self._stream.write(line.encode())
            written = self._stream.write(LINE_END)
        return written

    def _has_unread_bytes(self) -> bool:
        if self._stream.closed():
            return False
        try:
            return bool(self._stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            # Nothing has arrived, or the connection is broken.
            return False


def _decode(line: bytes | memoryview) -> str:
    try:
        return str(line, 'utf-8')
    except UnicodeDecodeError as error:
        raise LineUnreadableError from error
