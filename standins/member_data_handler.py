"""WebSocket endpoint of a member for data connections.

Unlike the link server of the product, a connection has a session, runs one
call at a time, counts against a limit and rolls back when it closes.
"""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Final, final

from loguru import logger
from tornado.websocket import WebSocketClosedError, WebSocketHandler

from mimosapond.clock import MS_PER_S
from mimosapond.codec import dump_json
from mimosapond.json_link import PING_OPERATION, STATUS_OK
from mimosapond.json_link import STATUS_REJECTED
from mimosapond.rejected_call_error import RejectedCallError
from standins.member_server import MemberServer
from standins.member_session import MemberSession

CLOSE_LIMIT_REACHED: Final = 4001
_PINGS_PER_SILENCE_LIMIT: Final = 4


@final
class MemberDataHandler(WebSocketHandler):
    """One data connection with its session."""

    def initialize(self, server: MemberServer) -> None:
        """Create the session from the shared parts of the member."""
        settings = server.settings
        self._server = server
        self._session = MemberSession(
            server.state,
            server.slots,
            settings.lock_timeout_ms,
        )
        self._silence_limit_s = settings.silence_limit_ms / MS_PER_S
        self._connect_delay_s = settings.connect_delay_ms / MS_PER_S
        self._is_counted = False
        self._call: asyncio.Task[None] | None = None
        self._silence_monitor: asyncio.Task[None] | None = None

    def open(self, *_args: str, **_kwargs: str) -> None:
        """Count the connection, or close it if the limit is reached."""
        self._opened_s = asyncio.get_running_loop().time()
        self._last_heard_s = self._opened_s
        if not self._server.count_connection():
            self.close(CLOSE_LIMIT_REACHED, 'connection limit reached')
            return
        self._is_counted = True
        self._silence_monitor = asyncio.create_task(self._close_when_silent())

    def on_message(self, message: str | bytes) -> None:
        """Answer a ping at once; run a call if none is running."""
        self._last_heard_s = asyncio.get_running_loop().time()
        if not self._is_counted:
            return
        call = json.loads(message)
        if call['op'] == PING_OPERATION:
            named = {'member': self._server.settings.name}
            self._send(call, STATUS_OK, named)
        elif self._call is None or self._call.done():
            self._call = asyncio.create_task(self._serve(call))
        else:
            error = RejectedCallError('bad_request', 'a call is running')
            self._send(call, STATUS_REJECTED, error.body)

    def on_pong(self, data: bytes) -> None:  # noqa: WPS110 # tornado's name
        """Note that the client is reachable."""
        self._last_heard_s = asyncio.get_running_loop().time()

    def on_close(self) -> None:
        """End the session."""
        if self._silence_monitor is not None:
            self._silence_monitor.cancel()
        self._end_session()

    def _end_session(self) -> None:
        if not self._is_counted:
            return
        self._is_counted = False
        self._server.release_connection()
        if self._call is not None:
            self._call.cancel()
        self._session.close()

    async def _serve(self, call: Mapping[str, Any]) -> None:
        loop_s = asyncio.get_running_loop().time()
        # A real connection is slow to open, as the target starts a process or
        # authenticates the client.
        await asyncio.sleep(self._opened_s + self._connect_delay_s - loop_s)
        try:
            answer = await self._run(call)
        except RejectedCallError as error:
            self._send(call, STATUS_REJECTED, error.body)
        else:
            self._send(call, STATUS_OK, answer)

    async def _run(self, call: Mapping[str, Any]) -> Mapping[str, Any]:
        operation = self._session.operations.get(call['op'])
        if operation is None:
            raise RejectedCallError('bad_request', f'no op {call["op"]}')
        return await operation(call['body'])

    def _send(
        self,
        call: Mapping[str, Any],
        status: str,
        body: Mapping[str, Any],
    ) -> None:
        answer = {'call_id': call['call_id'], 'status': status, 'body': body}
        try:
            self.write_message(dump_json(answer))
        except WebSocketClosedError:
            logger.debug('answer dropped, the client closed the connection')

    async def _close_when_silent(self) -> None:
        loop = asyncio.get_running_loop()
        while loop.time() - self._last_heard_s < self._silence_limit_s:
            await asyncio.sleep(
                self._silence_limit_s / _PINGS_PER_SILENCE_LIMIT
            )
            self._send_ping()
        self._end_session()
        self.close()

    def _send_ping(self) -> None:
        try:
            self.ping()
        except WebSocketClosedError:
            logger.debug('the client closed the connection')
