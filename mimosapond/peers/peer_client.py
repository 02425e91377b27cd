"""Client for requests to other hosts."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.configuration import Configuration
from mimosapond.groups.log_position import LogPosition
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.peers import peer_paths
from mimosapond.peers.configuration_transfer import decode_configuration
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_link import LinkFailure
from mimosapond.peers.peer_links import PeerLinks
from mimosapond.peers.peer_versions import VERSION_FIELD, PeerVersions
from mimosapond.peers.shared_state import SharedState
from mimosapond.peers.shared_state_codec import decode_state
from mimosapond.peers.work_codec import (
    decode_outcome,
    decode_position,
    encode_work,
)
from mimosapond.quotas.quota_codec import decode_answer, encode_request
from mimosapond.quotas.quota_messages import QuotaAnswer, QuotaRequest
from mimosapond.routing.work_outcome import WorkUnanswered, WorkOutcome
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

_MS_PER_S: Final = 1000
_ROLLBACK_TIMEOUT_S: Final = 1.0
# A peer answers work at its deadline at the latest; the answer travels.
_ANSWER_MARGIN_S: Final = 0.1
# A peer answers a request for the state after 1.7 s at the latest.
_STATE_TIMEOUT_S: Final = 1.9
_BODY_ERRORS: Final = (AttributeError, KeyError, TypeError, ValueError)
# Statuses of answers which say that nothing ran.
_NOT_RUN_STATUSES: Final = frozenset(
    str(status.value)
    for status in (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.NOT_FOUND,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)
_PATIENT_PATHS: Final = frozenset((peer_paths.PRIMARY, peer_paths.QUOTA))
_OK: Final = str(HTTPStatus.OK.value)
_NOT_FOUND: Final = str(HTTPStatus.NOT_FOUND.value)


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
        versions: PeerVersions | None = None,
    ) -> None:
        """Create a client.

        Parameters
        ----------
        directory
            Records which peers answer.
        now
            Clock of the deadlines of work.
        versions
            Is told which version of the configuration each answer names.
        """
        self._versions = versions
        self._directory = directory
        self._now = now
        self._links = PeerLinks(now)
        # A connection with a request in flight counts as silent after a short
        # time, so requests that wait for news have connections of their own.
        self._waiting_links = PeerLinks(now)

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

    async def ask_configuration(
        self, peer: Peer, newer_than: int, limit_s: float
    ) -> Configuration | None:
        """Ask a peer for its configuration.

        Returns
        -------
        Configuration | None
            None if the peer has no version newer than ``newer_than`` or gives
            no usable answer.
        """
        response = await self._call(
            peer, peer_paths.CONFIGURATION, {'newer_than': newer_than}, limit_s
        )
        if isinstance(response, WorkUnanswered):
            return None
        body = response.get('configuration')
        if body is None:
            return None
        try:
            return decode_configuration(body)
        except _BODY_ERRORS as error:
            self._unanswered(
                peer, peer_paths.CONFIGURATION, repr(error), was_sent=True
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

    async def follow_state(
        self, peer: Peer, known: SharedState | None
    ) -> SharedState | None:
        """Wait for what a peer reads next in the platform's store.

        Parameters
        ----------
        known
            The last answer of the peer; None if there is none.

        Returns
        -------
        SharedState | None
            None if the peer gives no answer.
        """
        asked_s = self._now()
        response = await self._call(
            peer,
            peer_paths.STATE,
            {
                'read_number': -1 if known is None else known.read_number,
                'records_digest': '' if known is None else known.records_digest,
            },
            _STATE_TIMEOUT_S,
            self._waiting_links,
        )
        if isinstance(response, WorkUnanswered):
            return None
        try:
            return decode_state(response, asked_s)
        except _BODY_ERRORS as error:
            self._unanswered(peer, peer_paths.STATE, repr(error), was_sent=True)
            return None

    async def ask_quota(
        self, peer: Peer, request: QuotaRequest, limit_s: float
    ) -> QuotaAnswer | None:
        """Send a peer a request about quotas; None without an answer."""
        response = await self._call(
            peer, peer_paths.QUOTA, encode_request(request), limit_s
        )
        if isinstance(response, WorkUnanswered):
            return None
        try:
            return decode_answer(response)
        except _BODY_ERRORS as error:
            self._unanswered(peer, peer_paths.QUOTA, repr(error), was_sent=True)
            return None

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
        self,
        peer: Peer,
        path: str,
        body: Mapping[str, Any],
        limit_s: float,
        links: PeerLinks | None = None,
    ) -> Mapping[str, Any] | WorkUnanswered:
        content = json.dumps(body).encode()
        answer = await (links or self._links).call(peer, path, content, limit_s)
        if isinstance(answer, LinkFailure):
            # A peer that probes a silent primary answers the question for it
            # late, and is not at fault. Requests about quotas have short
            # limits, which a busy peer may miss.
            is_at_fault = answer.was_silent and path not in _PATIENT_PATHS
            if is_at_fault or not answer.was_sent:
                return self._unanswered(
                    peer, path, answer.reason, was_sent=answer.was_sent
                )
            return WorkUnanswered(answer.reason, was_sent=answer.was_sent)
        if answer.word == _NOT_FOUND:
            # A host of an earlier version of the product lacks the path, and is
            # fit for other requests.
            return WorkUnanswered('the path is unknown', was_sent=False)
        if answer.word != _OK:
            was_sent = answer.word not in _NOT_RUN_STATUSES
            return self._unanswered(
                peer, path, f'status {answer.word}', was_sent=was_sent
            )
        decoded = decode_json_object(answer.body)
        if isinstance(decoded, UndecodableJson):
            return self._unanswered(peer, path, decoded.problem, was_sent=True)
        self._directory.record_answer(peer)
        if self._versions is not None:
            self._versions.record(peer, decoded.get(VERSION_FIELD))
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
