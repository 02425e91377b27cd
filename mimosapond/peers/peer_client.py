"""Client for requests to other hosts."""

from collections.abc import Callable, Mapping
from typing import Any, Final, TypeVar, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.configuration import Configuration
from mimosapond.entry.memory_lanes import MemoryLanes
from mimosapond.peers import peer_paths
from mimosapond.peers.configuration_transfer import (
    ConfigurationTooLarge,
    decode_configuration,
)
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_caller import Body, PeerCaller
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_versions import PeerVersions
from mimosapond.peers.primary_report import PrimaryReport
from mimosapond.peers.shared_state import SharedState
from mimosapond.peers.state_publisher import MAX_WAIT_S
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

_Answer = TypeVar('_Answer')

_MS_PER_S: Final = 1000
_ROLLBACK_TIMEOUT_S: Final = 1.0
# A peer answers work at its deadline at the latest; the answer travels.
_ANSWER_MARGIN_S: Final = 0.1
# A peer answers a request for the state after ``MAX_WAIT_S`` at the latest.
_STATE_TIMEOUT_S: Final = MAX_WAIT_S + 0.2
_BODY_ERRORS: Final = (AttributeError, KeyError, TypeError, ValueError)


@final
class PeerClient:
    """Sends requests to peers over connections that stay open."""

    def __init__(
        self,
        directory: PeerDirectory,
        now: Now,
        versions: PeerVersions | None = None,
        lanes: MemoryLanes | None = None,
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
        lanes
            Memory for answers; by default, that of a host whose settings name
            none.
        """
        self._now = now
        self._caller = PeerCaller(directory, now, versions, lanes)

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
        return await self._ask(
            peer,
            peer_paths.PRIMARY,
            {'group': group, 'max_age_ms': max_age_s * _MS_PER_S},
            limit_s,
            _decode_report,
        )

    async def ask_configuration(
        self,
        peer: Peer,
        newer_than: int,
        limit_s: float,
        *,
        accepts_large: bool = True,
    ) -> Configuration | ConfigurationTooLarge | None:
        """Ask a peer for its configuration.

        Parameters
        ----------
        accepts_large
            Whether the peer hands over a configuration of any size.

        Returns
        -------
        Configuration | ConfigurationTooLarge | None
            None if the peer has no version newer than ``newer_than`` or gives
            no usable answer.
        """
        return await self._ask(
            peer,
            peer_paths.CONFIGURATION,
            {'newer_than': newer_than, 'accepts_large': accepts_large},
            limit_s,
            _decode_configuration,
        )

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
        await self._caller.call(
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
        return await self._ask(
            peer,
            peer_paths.STATE,
            {
                'read_number': -1 if known is None else known.read_number,
                'records_digest': '' if known is None else known.records_digest,
            },
            _STATE_TIMEOUT_S,
            lambda body: decode_state(body, asked_s),
        )

    async def ask_quota(
        self, peer: Peer, request: QuotaRequest, limit_s: float
    ) -> QuotaAnswer | None:
        """Send a peer a request about quotas; None without an answer."""
        return await self._ask(
            peer,
            peer_paths.QUOTA,
            encode_request(request),
            limit_s,
            decode_answer,
        )

    async def _ask(
        self,
        peer: Peer,
        path: str,
        body: Body,
        limit_s: float,
        decode: Callable[[Body], _Answer | None],
    ) -> _Answer | None:
        """Return the decoded answer to a question; None without one."""
        response = await self._caller.call(peer, path, body, limit_s)
        if isinstance(response, WorkUnanswered):
            return None
        try:
            return decode(response)
        except _BODY_ERRORS as error:
            self._caller.record_unanswered(
                peer, path, repr(error), was_sent=True
            )
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
        response = await self._caller.call(
            peer, path, body, left_s + _ANSWER_MARGIN_S
        )
        if isinstance(response, WorkUnanswered):
            return response
        try:
            return decode_outcome(response)
        except _BODY_ERRORS as error:
            return self._caller.record_unanswered(
                peer, path, repr(error), was_sent=True
            )


def _decode_report(body: Mapping[str, Any]) -> PrimaryReport | None:
    position = decode_position(body.get('position'))
    if position is None:
        return None
    age_s = float(body['age_ms']) / _MS_PER_S
    return PrimaryReport(str(body['member_id']), position, age_s)


def _decode_configuration(
    body: Mapping[str, Any],
) -> Configuration | ConfigurationTooLarge | None:
    if body.get('is_too_large') is True:
        return ConfigurationTooLarge()
    configuration = body.get('configuration')
    return (
        None if configuration is None else decode_configuration(configuration)
    )
