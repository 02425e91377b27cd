"""Client for requests to other hosts."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.entry.memory_lanes import MemoryLanes
from mimosapond.groups.log_position import LogPosition
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.peers import peer_paths
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_frame import MAX_BODY_BYTES
from mimosapond.peers.peer_link import LinkFailure
from mimosapond.peers.peer_links import PeerLinks
from mimosapond.peers.work_codec import (
    decode_outcome,
    decode_position,
    encode_work,
)
from mimosapond.routing.work_outcome import WorkUnanswered, WorkOutcome
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

_MS_PER_S: Final = 1000
_ROLLBACK_TIMEOUT_S: Final = 1.0
# A peer answers work at its deadline at the latest; the answer travels.
_ANSWER_MARGIN_S: Final = 0.1
_BODY_ERRORS: Final = (KeyError, TypeError, ValueError)
# Statuses of answers which say that nothing ran.
_NOT_RUN_STATUSES: Final = frozenset(
    str(status.value)
    for status in (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_OK: Final = str(HTTPStatus.OK.value)


@final
@attrs.frozen
class PrimaryReport:
    """A primary that a peer has confirmed, and its log position.

    Parameters
    ----------
    age_s
        Time since the peer sent the primary the request that returned the
        position.
    """

    member_id: str
    position: LogPosition
    age_s: float


@final
class PeerClient:
    """Sends requests to peers over connections that stay open."""

    def __init__(
        self,
        directory: PeerDirectory,
        now: Now,
        lanes: MemoryLanes | None = None,
    ) -> None:
        """Create a client.

        Parameters
        ----------
        directory
            Records which peers answer.
        now
            Clock of the deadlines of work.
        lanes
            Memory for answers; by default, that of a host whose settings name
            none.
        """
        self._directory = directory
        self._now = now
        self._links = PeerLinks(now, lanes)

    async def ask_primary(
        self, peer: Peer, group: str, max_age_s: float, limit_s: float
    ) -> PrimaryReport | None:
        """Ask a peer for the primary of a group.

        Parameters
        ----------
        max_age_s
            The peer probes the primary if its last confirmation is older.
        limit_s
            Timeout for the answer.

        Returns
        -------
        PrimaryReport | None
            None if the peer reaches no primary or gives no answer.
        """
        response = await self._call(
            peer,
            peer_paths.PRIMARY,
            {'group': group, 'max_age_ms': max_age_s * _MS_PER_S},
            limit_s,
        )
        if isinstance(response, WorkUnanswered):
            return None
        try:
            return _decode_report(response)
        except _BODY_ERRORS as error:
            self._unanswered(
                peer, peer_paths.PRIMARY, repr(error), was_sent=True
            )
            return None

    async def read(self, peer: Peer, work: Work) -> WorkOutcome:
        """Have a peer run a single read."""
        return await self._send_work(peer, peer_paths.READS, {}, work)

    async def write(self, peer: Peer, work: Work) -> WorkOutcome:
        """Have a peer run a single write."""
        return await self._send_work(peer, peer_paths.WRITES, {}, work)

    async def run_in_transaction(
        self, peer: Peer, key: str, begin: Begin, work: Work, *, is_first: bool
    ) -> WorkOutcome:
        """Have a peer run a statement of a transaction.

        Parameters
        ----------
        key
            Key of the transaction at the peer.
        is_first
            Whether the peer begins the transaction with this statement.
        """
        fields = {
            'key': key,
            'is_read_only': begin.is_read_only,
            'is_first': is_first,
        }
        return await self._send_work(
            peer, peer_paths.TRANSACTIONS, fields, work
        )

    async def commit(self, peer: Peer, key: str, work: Work) -> WorkOutcome:
        """Have a peer commit a transaction."""
        fields = {'key': key}
        return await self._send_work(peer, peer_paths.COMMITS, fields, work)

    async def roll_back(self, peer: Peer, key: str) -> None:
        """Have a peer roll back a transaction; a failure is ignored."""
        await self._call(
            peer, peer_paths.ROLLBACKS, {'key': key}, _ROLLBACK_TIMEOUT_S
        )

    async def _send_work(
        self, peer: Peer, path: str, fields: Mapping[str, Any], work: Work
    ) -> WorkOutcome:
        now_s = self._now()
        logger.bind(
            request=work.request_id,
            peer=peer.host,
            path=path,
            key=fields.get('key', ''),
        ).info('work_passed_on')
        body = {**fields, 'work': encode_work(work, now_s)}
        left_s = work.deadline_s - now_s
        if left_s <= 0:
            return WorkUnanswered('the deadline has passed', was_sent=False)
        response = await self._call(peer, path, body, left_s + _ANSWER_MARGIN_S)
        if isinstance(response, WorkUnanswered):
            return response
        try:
            return decode_outcome(response)
        except _BODY_ERRORS as error:
            return self._unanswered(peer, path, repr(error), was_sent=True)

    async def _call(
        self, peer: Peer, path: str, body: Mapping[str, Any], limit_s: float
    ) -> Mapping[str, Any] | WorkUnanswered:
        content = json.dumps(body).encode()
        if len(content) > MAX_BODY_BYTES:
            return WorkUnanswered('the work is too large', was_sent=False)
        answer = await self._links.call(peer, path, content, limit_s)
        if isinstance(answer, LinkFailure):
            # A peer that probes a silent primary answers the question for it
            # late, and is not at fault.
            is_at_fault = answer.was_silent and path != peer_paths.PRIMARY
            if is_at_fault or not answer.was_sent:
                return self._unanswered(
                    peer, path, answer.reason, was_sent=answer.was_sent
                )
            return WorkUnanswered(answer.reason, was_sent=answer.was_sent)
        if answer.word != _OK:
            was_sent = answer.word not in _NOT_RUN_STATUSES
            return self._unanswered(
                peer, path, f'status {answer.word}', was_sent=was_sent
            )
        decoded = decode_json_object(answer.body)
        if isinstance(decoded, UndecodableJson):
            return self._unanswered(peer, path, decoded.problem, was_sent=True)
        self._directory.record_answer(peer)
        return decoded

    def _unanswered(
        self, peer: Peer, path: str, reason: str, *, was_sent: bool
    ) -> WorkUnanswered:
        if self._directory.record_failure(peer):
            logger.bind(
                peer=peer.host, path=path, reason=reason, was_sent=was_sent
            ).info('peer_unanswered')
        return WorkUnanswered(reason, was_sent=was_sent)


def _decode_report(body: Mapping[str, Any]) -> PrimaryReport | None:
    position = decode_position(body.get('position'))
    if position is None:
        return None
    age_s = float(body['age_ms']) / _MS_PER_S
    return PrimaryReport(str(body['member_id']), position, age_s)
