"""Selection of random peers, and calls to peers."""

import asyncio
import random
from collections.abc import Iterable, Mapping
from typing import Any, Final, final

from mimosapond.host_record import HostRecord
from mimosapond.membership import Membership
from mimosapond.peer_port import PeerPort
from mimosapond.peer_results import PeerAnswered, PeerResult
from mimosapond.seed_addresses import SeedAddresses

FANOUT_COUNT: Final = 3


@final
class PeerContacts:
    """Selects peers and calls them.

    Attributes
    ----------
    membership
        Known hosts; peers are selected from it.
    seeds
        Addresses that are used while the membership contains no peer.
    rng
        Source of randomness for all selections.
    """

    def __init__(
        self,
        membership: Membership,
        seeds: SeedAddresses,
        peers: PeerPort,
        rng: random.Random,
    ) -> None:
        """Create contacts that call peers through ``peers``."""
        self.membership = membership
        self.seeds = seeds
        self.rng = rng
        self._peers = peers

    def sample(self, count: int) -> tuple[str, ...]:
        """Return up to ``count`` random peer addresses.

        They are addresses of ``rejoin_candidates`` while no peer is known.
        """
        known = [record.address for record in self.membership.peers()]
        candidates = known or self.rejoin_candidates()
        return tuple(
            self.rng.sample(candidates, min(count, len(candidates))),
        )

    def sample_hosts(self, count: int, excluded: str) -> list[HostRecord]:
        """Return up to ``count`` random peers other than ``excluded``."""
        candidates = [
            record
            for record in self.membership.peers()
            if record.host_id != excluded
        ]
        return self.rng.sample(candidates, min(count, len(candidates)))

    def rejoin_candidates(self) -> list[str]:
        """Return addresses at which a peer may run that is not a known host.

        These are seed addresses and the addresses of dead hosts. After a
        partition the hosts of each side consider the other side dead, so the
        sides rejoin only if a host contacts such an address.
        """
        dead = {record.address for record in self.membership.dead()}
        known = {record.address for record in self.membership.hosts()}
        return sorted((dead | self.seeds.all()) - known)

    async def call(
        self,
        address: str,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> PeerResult:
        """Call one peer; ``fresh`` opens a new connection for it."""
        return await self._peers.call(
            address,
            operation,
            body,
            timeout_s,
            fresh=fresh,
        )

    async def call_all(
        self,
        addresses: Iterable[str],
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> list[PeerAnswered]:
        """Call several peers concurrently.

        Returns
        -------
        list[PeerAnswered]
            The answers; peers that rejected the call or did not answer are
            left out.
        """
        calls = [
            self._peers.call(address, operation, body, timeout_s)
            for address in addresses
        ]
        results = await asyncio.gather(*calls)
        return [
            result for result in results if isinstance(result, PeerAnswered)
        ]
