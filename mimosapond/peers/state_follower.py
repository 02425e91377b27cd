"""Learns from one host of the data centre what that host reads in the store.

Calls to the store are limited and shared by all hosts. If each host reads for
itself, their number grows with the hosts, while the answers are the same.
"""

import asyncio
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.member_record import MemberRecord
from mimosapond.peers.holder_ranking import sort_by_score
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.shared_state import SharedState

# Key of the ranking of the hosts of a data centre as readers of the store.
_READER_KEY: Final = 'store-reader'
_RETRY_DELAY_S: Final = 0.3
_CHECK_INTERVAL_S: Final = 0.5
# Age up to which the last answer of the reader replaces own calls.
_MAX_ANSWER_AGE_S: Final = 2.0
# Age of the reader's last answer from the source of configurations, relative to
# the time within which one must be in force. The reader waits for half of that
# time, twice in a row, and reports a call that failed at once.
_POLL_AGE_RATIO: Final = 1.3


@final
class StateFollower:
    """Follows the reader of the data centre, unless this host is the reader.

    While the reader does not answer, or has itself heard nothing from the
    store for too long, this host reads the store itself.
    """

    def __init__(
        self,
        own: Peer,
        peers: PeerDirectory,
        client: PeerClient,
        directory: GroupDirectory,
        now: Now,
    ) -> None:
        """Create a follower that has no reader yet."""
        self._own = own
        self._peers = peers
        self._client = client
        self._directory = directory
        self._now = now
        self._reader = ''
        self._known: SharedState | None = None
        self._records: tuple[MemberRecord, ...] = ()
        self._answered_s: float | None = None

    @property
    def is_following(self) -> bool:
        """Whether another host hands on what it reads."""
        return (
            self._answered_s is not None
            and self._now() - self._answered_s < _MAX_ANSWER_AGE_S
        )

    def covers_configuration(self, apply_s: float) -> bool:
        """Return whether the reader hands on new configurations in time.

        Parameters
        ----------
        apply_s
            Time within which a new configuration must be in force.
        """
        if not self.is_following or self._known is None:
            return False
        age_s = self._now() - self._known.configuration_answered_s
        return age_s < apply_s * _POLL_AGE_RATIO

    async def run(self) -> None:
        """Follow the reader until cancelled."""
        while True:
            reader = self._find_reader()
            if reader is None:
                self._reader = ''
                self._answered_s = None
                await asyncio.sleep(_CHECK_INTERVAL_S)
            elif not await self._follow(reader):
                await asyncio.sleep(_RETRY_DELAY_S)

    def _find_reader(self) -> Peer | None:
        """Return the reader; None if it is this host."""
        hosts = [
            peer
            for peer in self._peers.peers
            if peer.data_centre == self._own.data_centre
            and self._peers.is_available(peer)
        ]
        first = sort_by_score(_READER_KEY, [*hosts, self._own])[0]
        return None if first.host == self._own.host else first

    async def _follow(self, reader: Peer) -> bool:
        if reader.host != self._reader:
            self._reader = reader.host
            self._known = None
            logger.bind(peer=reader.host).info('store_reader_chosen')
        state = await self._client.follow_state(reader, self._known)
        if state is None:
            self._answered_s = None
            return False
        self._answered_s = self._now()
        self._known = state
        self._apply(state)
        return True

    def _apply(self, state: SharedState) -> None:
        """Adopt registrations that are newer than those of this host."""
        if state.records is not None:
            self._records = state.records
        if state.registrations_read_s <= self._directory.read_s:
            return
        if state.unlisting_wait_s > 0:
            self._directory.defer_unlisting(state.unlisting_wait_s)
        self._directory.apply_registrations(
            self._records, state.registrations_read_s
        )
