"""The calls that the requests of other hosts ask for."""

import functools
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeAlias, final

from mimosapond.peers import peer_paths
from mimosapond.peers.configuration_transfer import encode_configuration
from mimosapond.peers.hand_over_gate import HandOverGate
from mimosapond.peers.peer_services import PeerServices
from mimosapond.peers.shared_state_codec import encode_state
from mimosapond.peers.work_codec import (
    decode_work,
    encode_outcome,
    encode_position,
)
from mimosapond.quotas.quota_codec import decode_request, encode_answer
from mimosapond.quotas.quota_messages import QuotaRequest
from mimosapond.routing.work_outcome import WorkDone
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

Body: TypeAlias = Mapping[str, Any]
Call: TypeAlias = Callable[[], Awaitable[Body]]

_MS_PER_S: Final = 1000
_WORK_PATHS: Final = frozenset(
    (
        peer_paths.READS,
        peer_paths.WRITES,
        peer_paths.TRANSACTIONS,
        peer_paths.COMMITS,
    ),
)


@final
class PeerCalls:
    """Decodes requests into calls of the services of this host."""

    def __init__(self, services: PeerServices) -> None:
        """Create the calls of some services."""
        self._services = services
        self._handler = services.handler
        self._hand_over_gate = HandOverGate(services.now)

    def decode(self, path: str, body: Body) -> Call | None:
        """Return the call of a request; None if its path is not known.

        Raises
        ------
        ArithmeticError, AttributeError, KeyError, TypeError, ValueError
            The body is not that of a request.
        """
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
                    self._hand_configuration,
                    int(body['newer_than']),
                    # A host of an earlier version of the product cannot read
                    # the source at once.
                    accepts_large=bool(body.get('accepts_large', True)),
                )
            case peer_paths.QUOTA:
                return functools.partial(
                    self._answer_quota, decode_request(body)
                )
            case _:
                return self._decode_work(path, body)

    def _decode_work(self, path: str, body: Body) -> Call | None:
        if path not in _WORK_PATHS:
            return None
        work = decode_work(
            body['work'], self._services.directory, self._services.now()
        )
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

    async def _find_primary(self, group: str, max_age_s: float) -> Body:
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
    ) -> Body:
        arrived_s = self._services.now()
        state = await self._services.publisher.wait_for_state(
            read_number, records_digest
        )
        return encode_state(state, arrived_s)

    async def _hand_configuration(
        self, newer_than: int, *, accepts_large: bool
    ) -> Body:
        current = self._services.configuration.current
        if current is None or current.version <= newer_than:
            return {'configuration': None}
        if not self._hand_over_gate.admit(current, accepts_large=accepts_large):
            return {'configuration': None, 'is_too_large': True}
        return {'configuration': encode_configuration(current)}

    async def _answer_quota(self, request: QuotaRequest) -> Body:
        return encode_answer(await self._services.quotas.answer(request))

    async def _roll_back(self, key: str) -> Body:
        self._handler.roll_back(key)
        return {}


async def _run_and_encode(
    run: Callable[[Work], Awaitable[WorkDone]], work: Work
) -> Body:
    outcome = await run(work)
    return encode_outcome(outcome.reply, outcome.position)
