"""Server for the requests of other hosts."""

import asyncio
import functools
import json
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

from loguru import logger
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.peers import peer_paths
from mimosapond.peers.configuration_transfer import encode_configuration
from mimosapond.peers.peer_frame import (
    FrameUnreadableError,
    PeerFrame,
    encode_frame,
    read_frame,
)
from mimosapond.peers.peer_versions import VERSION_FIELD
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.shared_state_codec import encode_state
from mimosapond.peers.state_publisher import StatePublisher
from mimosapond.peers.work_codec import (
    decode_work,
    encode_outcome,
    encode_position,
)
from mimosapond.quotas.home_finder import QuotaAnswerer
from mimosapond.quotas.no_quota_service import NoQuotaService
from mimosapond.quotas.quota_codec import decode_request, encode_answer
from mimosapond.quotas.quota_messages import QuotaRequest
from mimosapond.routing.work_outcome import WorkDone
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

_Body: TypeAlias = Mapping[str, Any]
_Call: TypeAlias = Callable[[], Awaitable[_Body]]

_MS_PER_S: Final = 1000
_NO_QUOTA_SERVICE: Final = NoQuotaService()
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
class PeerServer(TCPServer):
    """Answers each request in a task of its own.

    The answers of a connection are sent in the order in which they are ready.
    """

    def __init__(
        self,
        handler: RelayedWorkHandler,
        directory: GroupDirectory,
        publisher: StatePublisher,
        now: Now,
        configuration: ActiveConfiguration,
        quotas: QuotaAnswerer = _NO_QUOTA_SERVICE,
    ) -> None:
        """Create a server, not yet bound.

        Parameters
        ----------
        handler
            Runs the relayed work.
        directory
            Has the groups that work refers to.
        publisher
            Hands on what this host read in the platform's store.
        now
            Clock of the deadlines of work.
        configuration
            Is handed to other hosts; each answer names its version.
        quotas
            Answers requests about quotas.
        """
        super().__init__()
        self._publisher = publisher
        self._quotas = quotas
        self._handler = handler
        self._directory = directory
        self._now = now
        self._configuration = configuration
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Read the requests of one connection until it is closed."""
        stream.set_nodelay(True)  # noqa: FBT003 -- tornado's own signature
        try:
            while True:
                self._start_answer(stream, await read_frame(stream))
        except StreamClosedError:
            logger.bind(peer=address[0]).debug('peer_disconnected')
        except FrameUnreadableError as error:
            logger.bind(problem=repr(error)).warning('peer_frame_unreadable')
        finally:
            stream.close()

    def _start_answer(self, stream: IOStream, request: PeerFrame) -> None:
        task = asyncio.create_task(self._answer(stream, request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, stream: IOStream, request: PeerFrame) -> None:
        call = self._find_call(request)
        if isinstance(call, HTTPStatus):
            _send(stream, request, call, {})
            return
        # From here on the work may run, so the status must not be one that
        # tells the client that it did not.
        try:
            body = dict(await call())
            body[VERSION_FIELD] = self._configuration.version
            _send(stream, request, HTTPStatus.OK, body)
        except Exception:  # noqa: BLE001 -- one request must not stop others
            logger.bind(path=request.word).exception('peer_request_failed')
            _send(stream, request, HTTPStatus.INTERNAL_SERVER_ERROR, {})

    def _find_call(self, request: PeerFrame) -> _Call | HTTPStatus:
        """Return the call of a request, or the status if nothing runs."""
        body = decode_json_object(request.body)
        if isinstance(body, UndecodableJson):
            return _reject(request, body.problem)
        if self._handler.is_stopping and _is_new_work(request.word, body):
            return HTTPStatus.SERVICE_UNAVAILABLE
        try:
            call = self._decode(request.word, body)
        except _BODY_ERRORS as error:
            return _reject(request, repr(error))
        return HTTPStatus.NOT_FOUND if call is None else call

    def _decode(self, path: str, body: Mapping[str, Any]) -> _Call | None:
        match path:
            case peer_paths.PRIMARY:
                group, max_age_ms = str(body['group']), body['max_age_ms']
                return functools.partial(
                    self._find_primary, group, float(max_age_ms) / _MS_PER_S
                )
            case peer_paths.STATE:
                known = int(body['read_number']), str(body['records_digest'])
                return functools.partial(self._wait_for_state, *known)
            case peer_paths.ROLLBACKS:
                return functools.partial(self._roll_back, str(body['key']))
            case peer_paths.CONFIGURATION:
                return functools.partial(
                    self._hand_configuration, int(body['newer_than'])
                )
            case peer_paths.QUOTA:
                return functools.partial(
                    self._answer_quota, decode_request(body)
                )
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

    async def _wait_for_state(
        self, read_number: int, records_digest: str
    ) -> _Body:
        arrived_s = self._now()
        state = await self._publisher.wait_for_state(
            read_number, records_digest
        )
        return encode_state(state, arrived_s)

    async def _hand_configuration(self, newer_than: int) -> _Body:
        current = self._configuration.current
        if current is None or current.version <= newer_than:
            return {'configuration': None}
        return {'configuration': encode_configuration(current)}

    async def _answer_quota(self, request: QuotaRequest) -> _Body:
        return encode_answer(await self._quotas.answer(request))

    async def _roll_back(self, key: str) -> _Body:
        self._handler.roll_back(key)
        return {}


async def _run_and_encode(
    run: Callable[[Work], Awaitable[WorkDone]], work: Work
) -> _Body:
    outcome = await run(work)
    return encode_outcome(outcome.reply, outcome.position)


def _is_new_work(path: str, body: _Body) -> bool:
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
    stream: IOStream, request: PeerFrame, status: HTTPStatus, body: _Body
) -> None:
    content = json.dumps(body).encode()
    answer = PeerFrame(request.number, str(status.value), content)
    try:
        stream.write(encode_frame(answer))
    except StreamClosedError:
        logger.bind(path=request.word).info('peer_left')
