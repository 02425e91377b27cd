"""One direction of a forwarded connection."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias, final

_CHUNK_BYTES: Final = 65536
# Bounds the memory of a delayed connection whose reader is slow.
_QUEUE_LIMIT_COUNT: Final = 64
_Queue: TypeAlias = asyncio.Queue[tuple[float, bytes]]


@final
class ProxyDirection:
    """Copies bytes until an end of stream, an error or the byte limit.

    Attributes
    ----------
    delay_s
        Delay of each chunk that is received from now on.
    is_silent
        Whether bytes are dropped instead of delivered.
    limit_bytes
        Bytes that may still be delivered before the end; None for no limit.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        count_bytes: Callable[[int], None],
    ) -> None:
        """Store the streams; ``count_bytes`` is called for delivered bytes."""
        self._count_bytes = count_bytes
        self.delay_s: float = 0
        self.is_silent = False
        self.limit_bytes: int | None = None
        self._reader = reader
        self._writer = writer
        self._delivery_enabled = asyncio.Event()

    def set_held(self, *, is_held: bool) -> None:
        """Hold bytes back, or deliver them with those held so far."""
        if is_held:
            self._delivery_enabled.clear()
        else:
            self._delivery_enabled.set()

    async def run(self) -> None:
        """Copy until the end of the direction."""
        queue: _Queue = asyncio.Queue(_QUEUE_LIMIT_COUNT)
        receiver = asyncio.create_task(self._receive(queue))
        try:
            await self._forward(queue)
        except OSError:
            # The receiver has closed, so there is nothing to copy to.
            return
        finally:
            receiver.cancel()

    async def _receive(self, queue: _Queue) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'-'
        while chunk:
            chunk = await self._read()
            await queue.put((loop.time() + self.delay_s, chunk))

    async def _read(self) -> bytes:
        try:
            return await self._reader.read(_CHUNK_BYTES)
        except OSError:
            return b''

    async def _forward(self, queue: _Queue) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s, chunk = await queue.get()
            await asyncio.sleep(due_s - loop.time())
            await self._delivery_enabled.wait()
            if not chunk or self.limit_bytes == 0:
                return
            if not self.is_silent:
                await self._write(chunk[: self.limit_bytes])
            if self.limit_bytes == 0:
                return

    async def _write(self, chunk: bytes) -> None:
        self._writer.write(chunk)
        self._count_bytes(len(chunk))
        if self.limit_bytes is not None:
            self.limit_bytes -= len(chunk)
        await self._writer.drain()
