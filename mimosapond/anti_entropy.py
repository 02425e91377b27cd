"""Periodic comparison of the whole state with a peer.

It delivers changes whose gossip messages were lost. Two hosts compare one hash
for each bucket of their state and exchange only the buckets that differ, so
the cost does not grow with the number of hosts while the states agree.
"""

import functools
import hashlib
import json
import zlib
from collections.abc import Iterable, Mapping
from typing import Any, Final, final

import attrs

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.gossip_change import GossipChange, change_key, encode_change
from mimosapond.gossip_state import GossipState
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.options import Options
from mimosapond.peer_contacts import PeerContacts
from mimosapond.peer_results import PeerAnswered

_BUCKET_COUNT: Final = 32
_HASH_BYTES: Final = 4
# Covers the number of hosts and groups that is expected within two years.
# Without the cache, each exchange hashes the whole state again.
_CACHE_ENTRY_COUNT: Final = 4096
_INTERVAL_S: Final = 30
_JOIN_INTERVAL_S: Final = 1
_TIMEOUT_INTERVAL_COUNT: Final = 4


@functools.lru_cache(maxsize=_CACHE_ENTRY_COUNT)
def _bucket_index(change: GossipChange) -> int:
    return zlib.crc32(':'.join(change_key(change)).encode()) % _BUCKET_COUNT


@functools.lru_cache(maxsize=_CACHE_ENTRY_COUNT)
def _change_hash(change: GossipChange) -> int:
    if isinstance(change, HostRecord):
        if change.state is HostState.DEAD:
            # Each host removes a dead host at a different time, so dead hosts
            # are left out of the comparison.
            return 0
        if change.state is HostState.SUSPECT:
            change = attrs.evolve(change, state=HostState.ALIVE)
    text = json.dumps(encode_change(change)).encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, 'big')


def _hash_buckets(changes: Iterable[GossipChange]) -> list[int]:
    hashes = [0 for _ in range(_BUCKET_COUNT)]
    for change in changes:
        hashes[_bucket_index(change)] ^= _change_hash(change)
    return hashes


@final
class AntiEntropy:
    """Compares the state with a random peer at a fixed mean interval."""

    def __init__(
        self,
        gossip: GossipState,
        contacts: PeerContacts,
        clock: Clock,
        options: Options,
    ) -> None:
        """Create the exchange of the state that ``gossip`` holds."""
        self._gossip = gossip
        self._contacts = contacts
        self._clock = clock
        interval_s = options.probe_interval_ms / MS_PER_S
        self._timeout_s = interval_s * _TIMEOUT_INTERVAL_COUNT

    async def run(self) -> None:
        """Exchange until cancelled, at a short interval while alone."""
        while True:
            await self.step()
            interval_s: float = _JOIN_INTERVAL_S
            if self._contacts.membership.peers():
                # Jitter keeps hosts that started together from exchanging at
                # the same time.
                interval_s = _INTERVAL_S * self._contacts.rng.uniform(0.5, 1.5)
            await self._clock.sleep(interval_s)

    async def step(self) -> None:
        """Exchange with a known peer and with a host that may rejoin."""
        self._gossip.retain_declared_targets()
        known = [record.address for record in self._contacts.membership.peers()]
        for addresses in (known, self._contacts.rejoin_candidates()):
            if addresses:
                await self.exchange(self._contacts.rng.choice(addresses))

    async def exchange(self, address: str) -> None:
        """Compare the state with one peer and exchange what differs.

        Nothing changes if the peer does not answer.
        """
        body = self._gossip.envelope([])
        body['buckets'] = _hash_buckets(self._gossip.changes())
        result = await self._contacts.call(
            address,
            'gossip',
            body,
            self._timeout_s,
        )
        if not isinstance(result, PeerAnswered):
            return
        await self._gossip.receive(result.body)
        mine = self._encode_buckets(result.body.get('differing', ()))
        if mine:
            await self._contacts.call(
                address,
                'gossip',
                self._gossip.envelope(mine),
                self._timeout_s,
            )

    def serve(self, buckets: list[int]) -> Mapping[str, Any]:
        """Answer a comparison.

        Parameters
        ----------
        buckets
            The hash of each bucket of the sender.

        Returns
        -------
        Mapping[str, Any]
            A gossip message with this host's changes in the buckets that
            differ, and the indices of these buckets.
        """
        own = _hash_buckets(self._gossip.changes())
        differing = [
            index
            for index, own_hash in enumerate(own)
            if index < len(buckets) and buckets[index] != own_hash
        ]
        answer = self._gossip.envelope(self._encode_buckets(differing))
        answer['differing'] = differing
        return answer

    def _encode_buckets(self, buckets: Iterable[int]) -> list[list[Any]]:
        selected = frozenset(buckets)
        return [
            encode_change(change)
            for change in self._gossip.changes()
            if _bucket_index(change) in selected
        ]
