"""Fake of a table store whose answer arrives slowly or not at all."""

import asyncio
import base64
import contextlib
import json
from typing import Any, Final, final

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
    byte_count
        Size of a row beside the configuration.
    """

    def __init__(
        self, begin_s: float, transfer_s: float, byte_count: int = 0
    ) -> None:
        """Create a store that does not listen yet."""
        self._body = _build_body(byte_count)
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
        try:
            with contextlib.suppress(ConnectionError):
                await reader.readuntil(b'\r\n\r\n')
                await self._answer(writer)
        finally:
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        body = self._body
        await asyncio.sleep(self._begin_s)
        writer.write(
            f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'.encode()
        )
        size = len(body) // _PIECE_COUNT + 1
        for start in range(0, len(body), size):
            writer.write(body[start : start + size])
            await writer.drain()
            await asyncio.sleep(self._pause_s)


def _build_body(byte_count: int) -> bytes:
    configuration = {
        'version': _VERSION,
        'routes': [],
        'services': [],
        'limits': {'tx_idle_ms': 3000},
    }
    rows = [
        _build_row('config', json.dumps(configuration).encode()),
        _build_row('other', b' ' * byte_count),
    ]
    return json.dumps({'rows': rows, 'ver': 9, 'now_ms': 1}).encode()


def _build_row(row_key: str, content: bytes) -> dict[str, Any]:
    return {
        'table': 'op',
        'part': '',
        'key': row_key,
        'value': base64.b64encode(content).decode(),
        'ver': 9,
    }
