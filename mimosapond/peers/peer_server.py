"""Server for the requests of other hosts."""

import asyncio
import json
from http import HTTPStatus
from typing import Final, final

from loguru import logger
from tornado.iostream import (
    IOStream,
    StreamBufferFullError,
    StreamClosedError,
)
from tornado.tcpserver import TCPServer

from mimosapond.entry.host_resources import HostResources, default_resources
from mimosapond.entry.memory_lanes import MemoryAccount
from mimosapond.entry.refusal_log import RefusalCause
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.peers import peer_paths
from mimosapond.peers.peer_calls import Body, Call, PeerCalls
from mimosapond.peers.peer_frame import (
    MAX_BODY_BYTES,
    FrameUnreadableError,
    PeerFrame,
    SkippedFrame,
    encode_frame,
    read_frame,
)
from mimosapond.peers.peer_services import PeerServices
from mimosapond.peers.peer_versions import VERSION_FIELD

# A host that reads no answers loses its connection beyond this size.
_MAX_UNREAD_BYTES: Final = 2 * MAX_BODY_BYTES
_BODY_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


@final
class PeerServer(TCPServer):
    """Answers each request in a task of its own.

    The answers of a connection are sent in the order in which they are ready.
    """

    def __init__(
        self, services: PeerServices, resources: HostResources | None = None
    ) -> None:
        """Create a server, not yet bound.

        Parameters
        ----------
        services
            Answer the requests.
        resources
            Memory for work; by default, that of a host whose settings name
            none.
        """
        super().__init__()
        self._resources = resources or default_resources()
        self._services = services
        self._calls = PeerCalls(services)
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Read the requests of one connection until it is closed."""
        stream.set_nodelay(True)  # noqa: FBT003 -- tornado's own signature
        stream.max_write_buffer_size = _MAX_UNREAD_BYTES
        try:
            while True:
                await self._serve_next(stream)
        except StreamClosedError:
            logger.bind(peer=address[0]).debug('peer_disconnected')
        except FrameUnreadableError as error:
            logger.bind(problem=repr(error)).warning('peer_frame_unreadable')
        finally:
            stream.close()

    async def _serve_next(self, stream: IOStream) -> None:
        """Read one request and start its answer, or refuse it."""
        account = MemoryAccount(self._resources.frames)
        try:
            request = await read_frame(stream, account)
        except BaseException:
            account.release()
            raise
        if isinstance(request, SkippedFrame):
            # The status tells the other host that nothing ran.
            self._resources.refusals.record(RefusalCause.peer_memory)
            _send(stream, request, HTTPStatus.SERVICE_UNAVAILABLE, {})
            return
        task = asyncio.create_task(self._answer(stream, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: account.release())

    async def _answer(self, stream: IOStream, request: PeerFrame) -> None:
        call = self._find_call(request)
        if isinstance(call, HTTPStatus):
            _send(stream, request, call, {})
            return
        # From here on the work may run, so the status must not be one that
        # tells the client that it did not.
        try:
            body = dict(await call())
            body[VERSION_FIELD] = self._services.configuration.version
            _send(stream, request, HTTPStatus.OK, body)
        except Exception:  # noqa: BLE001 -- one request must not stop others
            logger.bind(path=request.word).exception('peer_request_failed')
            _send(stream, request, HTTPStatus.INTERNAL_SERVER_ERROR, {})

    def _find_call(self, request: PeerFrame) -> Call | HTTPStatus:
        """Return the call of a request, or the status if nothing runs."""
        body = decode_json_object(request.body)
        if isinstance(body, UndecodableJson):
            return _reject(request, body.problem)
        if self._services.handler.is_stopping and _is_new_work(
            request.word, body
        ):
            return HTTPStatus.SERVICE_UNAVAILABLE
        try:
            call = self._calls.decode(request.word, body)
        except _BODY_ERRORS as error:
            return _reject(request, repr(error))
        return HTTPStatus.NOT_FOUND if call is None else call


def _is_new_work(path: str, body: Body) -> bool:
    """Return whether another host can run the work as well."""
    is_begin = path == peer_paths.TRANSACTIONS and body.get('is_first') is True
    return is_begin or path in {peer_paths.READS, peer_paths.WRITES}


def _reject(request: PeerFrame, problem: str) -> HTTPStatus:
    """Log that a body is no request, and return the status of the answer."""
    logger.bind(path=request.word, problem=problem).warning(
        'peer_request_unreadable',
    )
    return HTTPStatus.BAD_REQUEST


def _send(
    stream: IOStream,
    request: PeerFrame | SkippedFrame,
    status: HTTPStatus,
    body: Body,
) -> None:
    content = json.dumps(body).encode()
    if len(content) > MAX_BODY_BYTES:
        # The other host would close the connection, and with it other work.
        status, content = HTTPStatus.INTERNAL_SERVER_ERROR, b'{}'
    answer = PeerFrame(request.number, str(status.value), content)
    try:
        stream.write(encode_frame(answer))
    except StreamClosedError:
        logger.bind(path=request.word).info('peer_left')
    except StreamBufferFullError:
        logger.bind(path=request.word).warning('peer_reads_no_answers')
        stream.close()
