"""Fake of a table store whose answer arrives slowly or not at all."""

import asyncio
import base64
import contextlib
import json
from typing import Final, final

_LOOPBACK: Final = '127.0.0.1'
_VERSION: Final = 3
_PIECE_COUNT: Final = 10


@final
class SlowStore:
    """Answers each read with a configuration, in pieces over some time.

    Parameters
    ----------
    begin_s
        Time until the first piece.
    transfer_s
        Time from the first piece to the last one.
    """

    def __init__(self, begin_s: float, transfer_s: float) -> None:
        """Create a store that does not listen yet."""
        self._begin_s = begin_s
        self._pause_s = transfer_s / _PIECE_COUNT
        self._tasks: set[asyncio.Task[None]] = set()

    async def listen(self) -> str:
        """Start to listen and return the address as ``ip:port``."""
        self._server = await asyncio.start_server(self._serve, _LOOPBACK, 0)
        port = self._server.sockets[0].getsockname()[1]
        return f'{_LOOPBACK}:{port}'

    async def close(self) -> None:
        """Stop listening, and end the answers that are under way."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._tasks.add(asyncio.create_task(self._serve_one(reader, writer)))

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b'\r\n\r\n')
            await self._answer(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        body = _build_body()
        await asyncio.sleep(self._begin_s)
        writer.write(
            f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
        )
        size = len(body) // _PIECE_COUNT + 1
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(self._pause_s)


def _build_body() -> bytes:
    configuration = {
        'version': _VERSION,
        'routes': [],
        'services': [],
        'limits': {'tx_idle_ms': 3000},
    }
    row = {
        'table': 'op',
        'part': '',
        'key': 'config',
        'value': base64.b64encode(json.dumps(configuration).encode()).decode(),
        'ver': 9,
    }
    return json.dumps({'rows': [row], 'ver': 9, 'now_ms': 1}).encode()
