"""Fake host whose answers are wrong in a chosen manner, and a fake group."""

import asyncio
import json
from typing import Final, final

from tornado.web import RequestHandler

from standins.database_group.signature import sign

REQUEST_COUNT: Final = 3
_LAST_ROW: Final = 'last row'


@final
class FaultyHost:
    """Stores items like a host and corrupts its answers."""

    def __init__(self, manner: str) -> None:
        """Choose the manner in which the answers are wrong."""
        self._manner = manner
        self._items: dict[str, str] = {}

    async def start(self) -> asyncio.Server:
        """Listen on a free port."""
        return await asyncio.start_server(self._serve, '127.0.0.1', 0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readline()
        writer.write(b'READY I -\r\n')
        # The host ends after the number of requests that the caller sends.
        # Waiting for more would be cancelled, with an error in asyncio's log.
        for _ in range(REQUEST_COUNT):
            line = (await reader.readline()).decode().strip()
            _, request_id, text = line.split(' ', 2)
            answer = self._answer(request_id, text)
            if self._manner == 'sent twice':
                answer *= 2
            writer.write(answer.encode())
        writer.close()

    def _answer(self, request_id: str, text: str) -> str:
        rows = self._rows(text)
        if self._manner == 'signed for another id':
            request_id = f'{request_id}1'
        if self._manner == 'those of another item':
            text = f'{text}1'
        signature = sign(request_id, text, rows)
        if self._manner == 'without their last row':
            rows = rows[:-1]
        shown = ''.join(f'DATAROW {row}\r\n' for row in rows)
        return f'{shown}COMPLETE {signature}\r\nREADY I -\r\n'

    def _rows(self, text: str) -> tuple[str, ...]:
        word, item, *content = text.split(' ', 2)
        if word == 'READ':
            return self._items.get(item, '-'), _LAST_ROW
        if self._manner != 'older than the write':
            self._items[item] = content[0]
        return ()


@final
class PromotedHandler(RequestHandler):
    """Control call of a group that records which members it promotes."""

    def initialize(self, promoted: list[str]) -> None:
        """Store the list that receives the members."""
        self._promoted = promoted

    def post(self) -> None:
        """Record the member."""
        self._promoted.append(json.loads(self.request.body)['member_id'])
