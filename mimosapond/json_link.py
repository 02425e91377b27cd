"""Client side of a WebSocket link that carries multiplexed JSON calls.

Each link has one task that reads the answers. Each answer contains the id of
its call. An answer that arrives after its call has ended is dropped, so a call
never receives the answer of another call. While calls are pending, the link
sends pings, so that a connection whose other end has become unreachable is
closed long before the deadlines of its calls.
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
# Time without any message after which a link with pending calls is closed.
PING_TIMEOUT_S: Final = 0.6


@final
class JsonLink:
    """One open link, which is not reopened after it has closed."""

    def __init__(self, connection: WebSocketClientConnection) -> None:
        """Start the tasks that read from an open connection and ping it."""
        self._connection = connection
        self._pending: dict[int, asyncio.Future[PeerResult]] = {}
        self._last_call_id = 0
        self._has_received = asyncio.Event()
        self._has_pending = asyncio.Event()
        self._is_open = True
        self._has_failed_write = False
        self._closes_when_idle = False
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
            Headers of the upgrade request.
        timeout_s
            Timeout for the connection and the upgrade together.

        Returns
        -------
        JsonLink or PeerSilent
            The open link, or the reason why it could not be opened.
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
        except Exception as error:  # noqa: BLE001 # any failure is no answer
            connecting.add_done_callback(_close_unused)
            return PeerUnavailable(
                f'no connection to {url}: {error!r}', sent=False
            )
        return cls(connection)

    @property
    def is_open(self) -> bool:
        """Whether new calls can be made."""
        return self._is_open and not self._has_failed_write

    @property
    def close_code(self) -> int | None:
        """WebSocket close code that the server sent, if any."""
        return self._close_code

    async def call(
        self,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> PeerResult:
        """Make one call and wait for its answer.

        Parameters
        ----------
        operation
            Name of the operation at the peer.
        body
            Arguments of the operation.
        timeout_s
            Timeout for the answer.

        Returns
        -------
        PeerAnswered, PeerRejected or PeerSilent
            The result of the operation; a rejection, after which the call had
            no effect; ``PeerSilent`` if there was no answer, which tells
            whether the call was sent.
        """
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
        """Close the link; pending calls end without an answer."""
        if not self._is_open:
            return
        self._is_open = False
        self._connection.close()
        self._reader.cancel()
        self._pinger.cancel()
        for answer in self._pending.values():
            if not answer.done():
                answer.set_result(PeerUnavailable('the link closed', sent=True))

    def close_when_idle(self) -> None:
        """Close the link as soon as no call is pending."""
        self._closes_when_idle = True
        self._close_if_idle()

    def _close_if_idle(self) -> None:
        if self._closes_when_idle and not self._pending:
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
            self._has_received.set()
            self._complete_call(json.loads(text))
        self._close_code = self._connection.close_code
        self.close()

    def _complete_call(self, message: Mapping[str, Any]) -> None:
        answer = self._pending.get(message['call_id'])
        if answer is None or answer.done():
            return
        answer.set_result(_decode_answer(message['status'], message['body']))

    async def _ping(self) -> None:
        silent_s: float = 0
        while silent_s < PING_TIMEOUT_S:
            # An idle link needs no pings, which would add up in a deployment
            # with many hosts, where each host keeps a link to every other one.
            await self._has_pending.wait()
            await asyncio.sleep(PING_INTERVAL_S)
            if not self._pending:
                self._has_pending.clear()
            if self._has_received.is_set() or not self._pending:
                silent_s = 0
            else:
                silent_s += PING_INTERVAL_S
            self._has_received.clear()
            self._send_ping()
        self.close()

    def _send_ping(self) -> None:
        if not self._pending:
            return
        text = dump_json({'call_id': 0, 'op': PING_OPERATION, 'body': {}})
        with contextlib.suppress(WebSocketClosedError):
            self._write(text)

    def _write(self, text: str) -> None:
        # The write is not awaited. If the peer stopped reading, awaiting it
        # would block the caller beyond its timeout, and would keep the ping
        # task from detecting the failure.
        try:
            written = self._connection.write_message(text)
        except WebSocketClosedError:
            # Nothing was written. The link is not closed here, because its
            # connection may still buffer answers: the reader takes them, and
            # then closes the link.
            self._has_failed_write = True
            raise
        asyncio.ensure_future(written).add_done_callback(_ignore_error)


def _close_unused(
    connecting: asyncio.Future[WebSocketClientConnection],
) -> None:
    # The caller has given up waiting, so nothing else would close the
    # connection.
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()


def _ignore_error(written: asyncio.Future[None]) -> None:
    # The reader detects the same failure and closes the link. Retrieving the
    # exception prevents asyncio from logging it.
    if not written.cancelled():
        written.exception()


def _decode_answer(status: str, body: Mapping[str, Any]) -> PeerResult:
    if status == STATUS_OK:
        return PeerAnswered(body)
    if status == STATUS_REJECTED:
        return PeerRejected(body['reason'], body['message'], body)
    return PeerUnavailable(f'the peer failed: {body}', sent=True)
