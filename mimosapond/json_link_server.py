"""Server side of a WebSocket link that carries multiplexed JSON calls."""

import asyncio
import hmac
import json
from collections.abc import Mapping
from typing import Any, Final, final

from loguru import logger
from tornado.websocket import WebSocketClosedError, WebSocketHandler

from mimosapond.codec import dump_json
from mimosapond.json_link import PING_OPERATION, STATUS_OK, STATUS_REJECTED
from mimosapond.peer_port import PeerOperation
from mimosapond.rejected_call_error import RejectedCallError

SECRET_HEADER: Final = 'X-Mimosapond-Secret'
# The operation broke; unlike a rejection it may have had an effect.
STATUS_FAILED: Final = 'failed'
_UNSUPPORTED_DATA: Final = 1003
_HTTP_FORBIDDEN: Final = 403


@final
class JsonLinkHandler(WebSocketHandler):
    """Runs each call in a task and sends its answer under its call id."""

    def initialize(
        self,
        operations: Mapping[str, PeerOperation],
        secret: str,
    ) -> None:
        """Take the operations that calls may name."""
        self._operations = operations
        self._secret = secret
        self._tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> None:
        """Refuse the upgrade when the secret is missing or wrong."""
        offered = self.request.headers.get(SECRET_HEADER, '')
        if not hmac.compare_digest(offered.encode(), self._secret.encode()):
            self.set_status(_HTTP_FORBIDDEN)
            self.finish()

    async def on_message(self, message: str | bytes) -> None:
        """Start the task of one call."""
        try:
            call = json.loads(message)
        except ValueError:
            self.close(_UNSUPPORTED_DATA, 'expected JSON')
            return
        task = asyncio.create_task(self._serve(call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, call: Mapping[str, Any]) -> None:
        status, body = await self._run(call['op'], call['body'])
        answer = {'call_id': call['call_id'], 'status': status, 'body': body}
        try:
            await self.write_message(dump_json(answer))
        except WebSocketClosedError:
            logger.debug('answer dropped, the peer closed the link')

    async def _run(
        self,
        name: str,
        body: Mapping[str, Any],
    ) -> tuple[str, Mapping[str, Any]]:
        if name == PING_OPERATION:
            return STATUS_OK, {}
        operation = self._operations.get(name)
        if operation is None:
            message = f'no operation {name}'
            return STATUS_REJECTED, {'reason': 'bad_op', 'message': message}
        try:
            return STATUS_OK, await operation(body)
        except RejectedCallError as error:
            return STATUS_REJECTED, error.body
        except Exception as error:  # noqa: BLE001 # the caller must be told
            logger.exception('operation_failed')
            return STATUS_FAILED, {'message': repr(error)}
