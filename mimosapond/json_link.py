"""Client side of a WebSocket link that carries multiplexed JSON calls.

One task reads each link. A call id that is no longer pending marks a late
answer, which is dropped, so no answer reaches another caller. While calls are
pending the link is pinged: a connection that has gone silent is closed long
before the deadlines of its calls.
"""

import asyncio
import contextlib
import json
from collections.abc import Mapping
from typing import Any, Final, Self, final

from tornado.httpclient import HTTPRequest
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    websocket_connect,
)

from mimosapond.codec import dump_json
from mimosapond.peer_results import (
    PeerAnswered,
    PeerRejected,
    PeerResult,
    PeerUnavailable,
)

MAX_MESSAGE_BYTES: Final = 16 * 1024 * 1024
PING_OPERATION: Final = 'ping'
STATUS_OK: Final = 'ok'
STATUS_REJECTED: Final = 'rejected'
PING_INTERVAL_S: Final = 0.2
SILENCE_LIMIT_S: Final = 0.6


@final
class JsonLink:
    """One open link; not reopened after it closes."""

    def __init__(self, connection: WebSocketClientConnection) -> None:
        """Start the reader and the ping task of an open connection."""
        self._connection = connection
        self._pending: dict[int, asyncio.Future[PeerResult]] = {}
        self._last_call_id = 0
        self._has_heard = asyncio.Event()
        self._has_pending = asyncio.Event()
        self._is_open = True
        self._has_met_end = False
        self._is_retired = False
        self._close_code: int | None = None
        self._reader = asyncio.create_task(self._read())
        self._pinger = asyncio.create_task(self._ping())

    @classmethod
    async def open(
        cls,
        url: str,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Self | PeerUnavailable:
        """Connect to ``url``.

        Parameters
        ----------
        url
            ``ws://`` address.
        headers
            Sent with the upgrade request.
        timeout_s
            Limit for the connection and the upgrade together.
        """
        request = HTTPRequest(
            url,
            headers=dict(headers),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        connecting = asyncio.ensure_future(
            websocket_connect(request, max_message_size=MAX_MESSAGE_BYTES),
        )
        try:
            async with asyncio.timeout(timeout_s):
                connection = await asyncio.shield(connecting)
        except asyncio.CancelledError:
            connecting.add_done_callback(_close_unused)
            raise
        except Exception as error:  # noqa: BLE001 # every failure is silence
            connecting.add_done_callback(_close_unused)
            return PeerUnavailable(
                f'no connection to {url}: {error!r}', sent=False
            )
        return cls(connection)

    @property
    def is_open(self) -> bool:
        """Whether calls can be made."""
        return self._is_open and not self._has_met_end

    @property
    def close_code(self) -> int | None:
        """WebSocket close code that the server sent."""
        return self._close_code

    async def call(
        self,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> PeerResult:
        """Make one call and wait for its own answer."""
        if not self.is_open:
            return PeerUnavailable('the link is closed', sent=False)
        self._last_call_id += 1
        call_id = self._last_call_id
        answer: asyncio.Future[PeerResult] = asyncio.Future()
        self._pending[call_id] = answer
        self._has_pending.set()
        try:
            return await self._exchange(call_id, operation, body, timeout_s)
        finally:
            self._pending.pop(call_id, None)
            self._close_if_idle()

    def close(self) -> None:
        """Close the link; pending calls end as silent."""
        if not self._is_open:
            return
        self._is_open = False
        self._connection.close()
        self._reader.cancel()
        self._pinger.cancel()
        for answer in self._pending.values():
            if not answer.done():
                answer.set_result(PeerUnavailable('the link closed', sent=True))

    def retire(self) -> None:
        """Close the link as soon as no call is pending."""
        self._is_retired = True
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self._is_retired and not self._pending:
            self.close()

    async def _exchange(
        self,
        call_id: int,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> PeerResult:
        text = dump_json({'call_id': call_id, 'op': operation, 'body': body})
        try:
            async with asyncio.timeout(timeout_s):
                self._write(text)
                return await self._pending[call_id]
        except TimeoutError:
            return PeerUnavailable(f'{operation} timed out', sent=True)
        except WebSocketClosedError:
            return PeerUnavailable('the link closed', sent=False)

    async def _read(self) -> None:
        while True:
            text = await self._connection.read_message()
            if text is None:
                break
            self._has_heard.set()
            self._settle(json.loads(text))
        self._close_code = self._connection.close_code
        self.close()

    def _settle(self, message: Mapping[str, Any]) -> None:
        answer = self._pending.get(message['call_id'])
        if answer is None or answer.done():
            return
        answer.set_result(_decode_answer(message['status'], message['body']))

    async def _ping(self) -> None:
        quiet_s: float = 0
        while quiet_s < SILENCE_LIMIT_S:
            # An idle link has nothing to watch; large fleets keep many.
            await self._has_pending.wait()
            await asyncio.sleep(PING_INTERVAL_S)
            if not self._pending:
                self._has_pending.clear()
            if self._has_heard.is_set() or not self._pending:
                quiet_s = 0
            else:
                quiet_s += PING_INTERVAL_S
            self._has_heard.clear()
            self._send_ping()
        self.close()

    def _send_ping(self) -> None:
        if not self._pending:
            return
        text = dump_json({'call_id': 0, 'op': PING_OPERATION, 'body': {}})
        with contextlib.suppress(WebSocketClosedError):
            self._write(text)

    def _write(self, text: str) -> None:
        # Not awaited: a peer that stopped reading would block the caller
        # beyond its timeout and keep the ping task from noticing it.
        try:
            written = self._connection.write_message(text)
        except WebSocketClosedError:
            # Nothing was written. The connection may still hold answers: the
            # link is closed by the reader, which takes them first.
            self._has_met_end = True
            raise
        asyncio.ensure_future(written).add_done_callback(_drop_error)


def _close_unused(
    connecting: asyncio.Future[WebSocketClientConnection],
) -> None:
    # Nobody waits for the connection any more, which would stay open.
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def _drop_error(written: asyncio.Future[None]) -> None:
    # The reader sees the same failure and closes the link.
    if not written.cancelled():
        written.exception()


def _decode_answer(status: str, body: Mapping[str, Any]) -> PeerResult:
    if status == STATUS_OK:
        return PeerAnswered(body)
    if status == STATUS_REJECTED:
        return PeerRejected(body['reason'], body['message'], body)
    return PeerUnavailable(f'the peer failed: {body}', sent=True)
