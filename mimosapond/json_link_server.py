"""Server side of a WebSocket link that carries multiplexed JSON calls."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Final, TypeAlias, final

from loguru import logger
from tornado.websocket import WebSocketClosedError, WebSocketHandler

from mimosapond.codec import dump_json, encode
from mimosapond.errors import refuse
from mimosapond.json_link import PING_OPERATION, STATUS_OK, STATUS_REJECTED
from mimosapond.peer_port import PeerOperation
from mimosapond.refusal_reason import RefusalReason
from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.secret_check import has_secret

# The operation raised an exception. Unlike a rejected operation, it may have
# had an effect.
STATUS_FAILED: Final = 'failed'
_UNSUPPORTED_DATA: Final = 1003
_UNAUTHORIZED: Final = 401
# Call id, name of the operation and body.
_Call: TypeAlias = tuple[int, str, Mapping[str, Any]]


@final
class JsonLinkHandler(WebSocketHandler):
    """Runs each call in a task and sends its answer under its call id."""

    def initialize(
        self,
        operations: Mapping[str, PeerOperation],
        secret: str | None,
    ) -> None:
        """Set the operations that can be called.

        Parameters
        ----------
        operations
            Implementation of each operation, by name.
        secret
            Secret that the upgrade request must contain. None requires no
            secret, which is used for links to the members of a group.
        """
        self._operations = operations
        self._secret = secret
        self._tasks: set[asyncio.Task[None]] = set()

    async def prepare(self) -> None:
        """Refuse the upgrade when the secret is missing or wrong."""
        if self._secret is None:
            return
        if has_secret(self.request.headers, self._secret):
            return
        logger.bind(remote_ip=self.request.remote_ip).warning('peer_refused')
        self.set_status(_UNAUTHORIZED)
        self.finish(encode(refuse(RefusalReason.UNAUTHORIZED)))

    async def on_message(self, message: str | bytes) -> None:
        """Start a task for one call; close the link if it is malformed."""
        call = _parse_call(message)
        if call is None:
            logger.bind(remote_ip=self.request.remote_ip).warning(
                'peer_message_malformed',
            )
            self.close(_UNSUPPORTED_DATA, 'the message is not a JSON call')
            return
        task = asyncio.create_task(self._serve(*call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(
        self,
        call_id: int,
        name: str,
        request: Mapping[str, Any],
    ) -> None:
        status, body = await self._run(name, request)
        answer = {'call_id': call_id, 'status': status, 'body': body}
        try:
            await self.write_message(dump_json(answer))
        except WebSocketClosedError:
            logger.debug('peer_answer_dropped')

    async def _run(
        self,
        name: str,
        body: Mapping[str, Any],
    ) -> tuple[str, Mapping[str, Any]]:
        if name == PING_OPERATION:
            return STATUS_OK, {}
        operation = self._operations.get(name)
        if operation is None:
            message = f'there is no operation {name}'
            return STATUS_REJECTED, {'reason': 'bad_op', 'message': message}
        try:
            return STATUS_OK, await operation(body)
        except RejectedCallError as error:
            return STATUS_REJECTED, error.body
        except Exception as error:  # noqa: BLE001 # the caller needs an answer
            logger.exception('operation_failed')
            return STATUS_FAILED, {'message': repr(error)}


def _parse_call(message: str | bytes) -> _Call | None:
    try:
        call = json.loads(message)
    except (ValueError, RecursionError):
        return None
    match call:
        case {'call_id': int(call_id), 'op': str(name), 'body': dict(body)}:
            return call_id, name, body
        case _:
            return None
