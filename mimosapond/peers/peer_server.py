"""Answers the requests of other hosts."""

import asyncio
import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, final

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.peers import peer_paths
from mimosapond.peers.peer_desk import PeerDesk
from mimosapond.peers.work_codec import (
    decode_work,
    encode_outcome,
    encode_position,
)
from mimosapond.routing.relay_port import Relayed
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

_MS_PER_S: Final = 1000
_WORK_PATHS: Final = frozenset(
    (
        peer_paths.READS,
        peer_paths.WRITES,
        peer_paths.TRANSACTIONS,
        peer_paths.COMMITS,
    ),
)
_BODY_ERRORS: Final = (KeyError, TypeError, ValueError)


@final
class PeerAnswers:
    """One task for each request."""

    def __init__(
        self, desk: PeerDesk, directory: GroupDirectory, now: Now
    ) -> None:
        """Take what carries out the work."""
        self._desk = desk
        self._directory = directory
        self._now = now
        self._tasks: set[asyncio.Task[None]] = set()

    def __call__(self, request: HTTPServerRequest) -> None:
        """Start to answer a request."""
        task = asyncio.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        try:
            body = json.loads(request.body)
            found = await self._carry_out(request.path, body)
        except _BODY_ERRORS as error:
            logger.bind(path=request.path, problem=repr(error)).warning(
                'peer_request_unreadable',
            )
            _send(request, HTTPStatus.BAD_REQUEST, {})
            return
        if found is None:
            _send(request, HTTPStatus.NOT_FOUND, {})
            return
        _send(request, HTTPStatus.OK, found)

    async def _carry_out(
        self, path: str, body: Mapping[str, Any]
    ) -> Mapping[str, Any] | None:
        match path:
            case peer_paths.PRIMARY:
                return await self._primary(body)
            case peer_paths.ROLLBACKS:
                self._desk.roll_back(str(body['key']))
                return {}
            case _ if path in _WORK_PATHS:
                work = decode_work(body['work'], self._directory, self._now())
                relayed = await self._run(path, body, work)
                return encode_outcome(relayed.reply, relayed.position)
            case _:
                return None

    async def _run(
        self, path: str, body: Mapping[str, Any], work: Work
    ) -> Relayed:
        if path == peer_paths.READS:
            return await self._desk.read(work)
        if path == peer_paths.WRITES:
            return await self._desk.write(work)
        key = str(body['key'])
        if path == peer_paths.COMMITS:
            return await self._desk.commit(key, work)
        begin = Begin(is_read_only=bool(body['is_read_only']))
        return await self._desk.run_in(
            key, begin, work, is_first=bool(body['is_first'])
        )

    async def _primary(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        max_age_s = float(body['max_age_ms']) / _MS_PER_S
        news = await self._desk.find_primary(str(body['group']), max_age_s)
        if news is None:
            return {'position': None}
        return {
            'member_id': news.member_id,
            'position': encode_position(news.position),
            'age_ms': news.age_s * _MS_PER_S,
        }


def build_peer_server(
    desk: PeerDesk, directory: GroupDirectory, now: Now
) -> HTTPServer:
    """Return the HTTP server of the peer address."""
    return HTTPServer(PeerAnswers(desk, directory, now))


def _send(
    request: HTTPServerRequest, status: HTTPStatus, body: Mapping[str, Any]
) -> None:
    content = json.dumps(body).encode()
    headers = HTTPHeaders(
        {
            'Content-Type': 'application/json',
            'Content-Length': str(len(content)),
        },
    )
    connection = request.connection
    if connection is None:
        return
    try:
        connection.write_headers(
            ResponseStartLine('HTTP/1.1', status, status.phrase),
            headers,
            content,
        )
        connection.finish()
    except StreamClosedError:
        logger.bind(path=request.path).info('peer_left')
