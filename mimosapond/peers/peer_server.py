"""HTTP server for the requests of other hosts."""

import asyncio
import functools
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.json_response import send_json
from mimosapond.peers import peer_paths
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.work_codec import (
    decode_work,
    encode_outcome,
    encode_position,
)
from mimosapond.routing.work_outcome import WorkDone
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

_Body: TypeAlias = Mapping[str, Any]
_Call: TypeAlias = Callable[[], Awaitable[_Body]]

_MS_PER_S: Final = 1000
_WORK_PATHS: Final = frozenset(
    (
        peer_paths.READS,
        peer_paths.WRITES,
        peer_paths.TRANSACTIONS,
        peer_paths.COMMITS,
    ),
)
_BODY_ERRORS: Final = (
    ArithmeticError,
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


@final
class PeerRequestHandler:
    """Answers each request in a task of its own."""

    def __init__(
        self, handler: RelayedWorkHandler, directory: GroupDirectory, now: Now
    ) -> None:
        """Create a request handler.

        Parameters
        ----------
        handler
            Runs the relayed work.
        directory
            Has the groups that work refers to.
        now
            Clock of the deadlines of work.
        """
        self._handler = handler
        self._directory = directory
        self._now = now
        self._tasks: set[asyncio.Task[None]] = set()

    def __call__(self, request: HTTPServerRequest) -> None:
        """Start a task that answers a request."""
        task = asyncio.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        body = decode_json_object(request.body)
        if isinstance(body, UndecodableJson):
            _reject(request, body.problem)
            return
        try:
            call = self._decode(request.path, body)
        except _BODY_ERRORS as error:
            _reject(request, repr(error))
            return
        if call is None:
            _send(request, HTTPStatus.NOT_FOUND, {})
            return
        # From here on the work may run, so the status must not be one that
        # tells the client that it did not.
        try:
            _send(request, HTTPStatus.OK, await call())
        except Exception:  # noqa: BLE001 -- one request must not stop others
            logger.bind(path=request.path).exception('peer_request_failed')
            _send(request, HTTPStatus.INTERNAL_SERVER_ERROR, {})

    def _decode(self, path: str, body: Mapping[str, Any]) -> _Call | None:
        match path:
            case peer_paths.PRIMARY:
                group, max_age_ms = str(body['group']), body['max_age_ms']
                return functools.partial(
                    self._find_primary, group, float(max_age_ms) / _MS_PER_S
                )
            case peer_paths.ROLLBACKS:
                return functools.partial(self._roll_back, str(body['key']))
            case _:
                return self._decode_work(path, body)

    def _decode_work(self, path: str, body: Mapping[str, Any]) -> _Call | None:
        if path not in _WORK_PATHS:
            return None
        work = decode_work(body['work'], self._directory, self._now())
        if path == peer_paths.READS:
            return functools.partial(_run_and_encode, self._handler.read, work)
        if path == peer_paths.WRITES:
            return functools.partial(_run_and_encode, self._handler.write, work)
        key = str(body['key'])
        if path == peer_paths.COMMITS:
            commit = functools.partial(self._handler.commit, key)
            return functools.partial(_run_and_encode, commit, work)
        run = functools.partial(
            self._handler.run_in_transaction,
            key,
            Begin(is_read_only=bool(body['is_read_only'])),
            is_first=bool(body['is_first']),
        )
        return functools.partial(_run_and_encode, run, work)

    async def _find_primary(self, group: str, max_age_s: float) -> _Body:
        report = await self._handler.find_primary(group, max_age_s)
        if report is None:
            return {'position': None}
        return {
            'member_id': report.member_id,
            'position': encode_position(report.position),
            'age_ms': report.age_s * _MS_PER_S,
        }

    async def _roll_back(self, key: str) -> _Body:
        self._handler.roll_back(key)
        return {}


async def _run_and_encode(
    run: Callable[[Work], Awaitable[WorkDone]], work: Work
) -> _Body:
    outcome = await run(work)
    return encode_outcome(outcome.reply, outcome.position)


def build_peer_server(
    handler: RelayedWorkHandler, directory: GroupDirectory, now: Now
) -> HTTPServer:
    """Return an HTTP server, not yet bound, for requests of other hosts."""
    return HTTPServer(PeerRequestHandler(handler, directory, now))


def _reject(request: HTTPServerRequest, problem: str) -> None:
    """Answer that nothing ran, because the body is no request."""
    logger.bind(path=request.path, problem=problem).warning(
        'peer_request_unreadable',
    )
    _send(request, HTTPStatus.BAD_REQUEST, {})


def _send(
    request: HTTPServerRequest, status: HTTPStatus, body: Mapping[str, Any]
) -> None:
    try:
        send_json(request, status, body)
    except StreamClosedError:
        logger.bind(path=request.path).info('peer_left')
