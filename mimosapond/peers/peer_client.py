"""Requests of this host to other hosts."""

import asyncio
import json
from collections.abc import Mapping
from typing import Any, Final, final

import attrs
from loguru import logger
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from mimosapond.address_resolver import AddressResolver
from mimosapond.boot_clock import Now
from mimosapond.groups.log_position import LogPosition
from mimosapond.peers import peer_paths
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.work_codec import (
    decode_outcome,
    decode_position,
    encode_work,
)
from mimosapond.routing.work_outcome import WorkUnanswered, WorkOutcome
from mimosapond.routing.work import Work
from mimosapond.statements.statement import Begin

_OK: Final = 200
_NOT_RUN_STATUSES: Final = frozenset((400, 404))
_MS_PER_S: Final = 1000
_CONNECT_TIMEOUT_S: Final = 0.15
_ROLLBACK_TIMEOUT_S: Final = 1.0
_CALL_ERRORS: Final = (HTTPError, OSError, asyncio.TimeoutError)
_BODY_ERRORS: Final = (KeyError, TypeError, ValueError)
_MAX_CONCURRENT_REQUESTS: Final = 200


@final
@attrs.frozen
class PrimaryReport:
    """A primary that a peer has proven, and its log position.

    Parameters
    ----------
    age_s
        Since the peer asked the primary.
    """

    member_id: str
    position: LogPosition
    age_s: float


@final
class PeerClient:
    """Calls peers; a connection is opened for each request.

    A connection that the network forgot would answer no call, so none is
    kept.
    """

    def __init__(self, directory: PeerDirectory, now: Now) -> None:
        """Take what to tell of peers that fail."""
        self._directory = directory
        self._now = now
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CONCURRENT_REQUESTS,
            resolver=AddressResolver(),
        )

    async def ask_primary(
        self, peer: Peer, group: str, max_age_s: float, limit_s: float
    ) -> PrimaryReport | None:
        """Ask a peer for the primary; None if it reaches none.

        Parameters
        ----------
        max_age_s
            The peer probes the primary if its last proof is older.
        """
        found = await self._call(
            peer,
            peer_paths.PRIMARY,
            {'group': group, 'max_age_ms': max_age_s * _MS_PER_S},
            limit_s,
        )
        if isinstance(found, WorkUnanswered):
            return None
        position = decode_position(found.get('position'))
        if position is None:
            return None
        age_s = float(found['age_ms']) / _MS_PER_S
        return PrimaryReport(str(found['member_id']), position, age_s)

    async def read(self, peer: Peer, work: Work) -> WorkOutcome:
        """Have a single read carried out."""
        return await self._send_work(peer, peer_paths.READS, {}, work)

    async def write(self, peer: Peer, work: Work) -> WorkOutcome:
        """Have a single write carried out."""
        return await self._send_work(peer, peer_paths.WRITES, {}, work)

    async def run_in(
        self, peer: Peer, key: str, begin: Begin, work: Work, *, is_first: bool
    ) -> WorkOutcome:
        """Run a statement of a transaction; the first one opens it."""
        fields = {
            'key': key,
            'is_read_only': begin.is_read_only,
            'is_first': is_first,
        }
        return await self._send_work(
            peer, peer_paths.TRANSACTIONS, fields, work
        )

    async def commit(self, peer: Peer, key: str, work: Work) -> WorkOutcome:
        """End a transaction."""
        fields = {'key': key}
        return await self._send_work(peer, peer_paths.COMMITS, fields, work)

    async def roll_back(self, peer: Peer, key: str) -> None:
        """Have a transaction rolled back."""
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
        found = await self._call(peer, path, body, work.deadline_s - now_s)
        if isinstance(found, WorkUnanswered):
            return found
        try:
            return decode_outcome(found)
        except _BODY_ERRORS as error:
            return self._unanswered(peer, path, repr(error), was_sent=True)

    async def _call(
        self, peer: Peer, path: str, body: Mapping[str, Any], limit_s: float
    ) -> Mapping[str, Any] | WorkUnanswered:
        if limit_s <= 0:
            return WorkUnanswered('no time left', was_sent=False)
        request = HTTPRequest(
            f'http://{peer.address}{path}',
            method='POST',
            headers={'Content-Type': 'application/json'},
            body=json.dumps(body),
            connect_timeout=min(_CONNECT_TIMEOUT_S, limit_s),
            request_timeout=limit_s,
        )
        try:
            found = await self._client.fetch(request, raise_error=False)
            if found.code != _OK:
                return self._unanswered(
                    peer,
                    path,
                    f'status {found.code}',
                    was_sent=found.code not in _NOT_RUN_STATUSES,
                )
            answer: Mapping[str, Any] = json.loads(found.body)
        except _CALL_ERRORS as error:
            return self._unanswered(
                peer, path, repr(error), was_sent=_may_be_sent(error)
            )
        except ValueError as error:
            return self._unanswered(peer, path, repr(error), was_sent=True)
        return answer

    def _unanswered(
        self, peer: Peer, path: str, reason: str, *, was_sent: bool
    ) -> WorkUnanswered:
        if self._directory.note_failure(peer):
            logger.bind(
                peer=peer.host, path=path, reason=reason, was_sent=was_sent
            ).info('peer_unanswered')
        return WorkUnanswered(reason, was_sent=was_sent)


def _may_be_sent(error: Exception) -> bool:
    """Return whether the peer may have got the request.

    Tornado has one error for all time-outs; the text tells the phase.
    """
    if isinstance(error, ConnectionRefusedError):
        return False
    return 'while connecting' not in str(error)
