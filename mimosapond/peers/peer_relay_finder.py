"""Finds peers that reach a primary which this host does not reach."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.primary_report import PrimaryReport
from mimosapond.peers.peer_relay import PeerRelay
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.routing.relay_port import Relay

# Includes the time in which the peer probes the primary.
_ASK_TIMEOUT_S: Final = 0.2
# Time for which a peer that reached the primary is used without a new lookup.
_RELAY_CACHE_S: Final = 0.4
# Time without a new lookup after no peer reached the primary.
_NO_RELAY_CACHE_S: Final = 0.15


@final
@attrs.frozen
class _CachedRelay:
    relay: Relay | None
    expires_s: float


@final
class PeerRelayFinder:
    """Asks several peers in parallel; see ``RelayFinder``.

    Concurrent callers for the same group share a lookup, and results are
    cached for a short time.
    """

    def __init__(
        self,
        choose: Callable[[str], list[Peer]],
        client: PeerClient,
        keys: TransactionKeys,
        now: Now,
    ) -> None:
        """Create a finder.

        Parameters
        ----------
        choose
            Returns the peers to ask for the primary of a group.
        client
            Sends the requests to them.
        keys
            Generates the keys of relayed transactions.
        now
            Clock of the cache and of observations.
        """
        self._keys = keys
        self._choose = choose
        self._client = client
        self._now = now
        self._cache: dict[str, _CachedRelay] = {}
        self._requests: set[asyncio.Task[PrimaryReport | None]] = set()
        self._lookups: dict[str, asyncio.Task[Relay | None]] = {}

    async def find(self, group: Group) -> Relay | None:
        """Return a peer that recently reached the primary; None if none did."""
        cached = self._cache.get(group.name)
        if cached is not None and self._now() < cached.expires_s:
            return cached.relay
        task = self._lookups.get(group.name)
        return await (
            self._start_lookup(group, _RELAY_CACHE_S)
            if task is None
            else _await_lookup(task)
        )

    async def refresh(self, group: Group) -> Relay | None:
        """Return a peer that reached the primary after this call.

        Returns
        -------
        Relay | None
            None if no peer did, or if that was the result of a lookup shortly
            before.
        """
        cached = self._cache.get(group.name)
        if cached is not None and cached.relay is None:
            if self._now() < cached.expires_s:
                return None
        task = self._lookups.get(group.name)
        if task is not None:
            await _await_lookup(task)
        task = self._lookups.get(group.name)
        return await (
            self._start_lookup(group, 0)
            if task is None
            else _await_lookup(task)
        )

    def forget(self, group: str) -> None:
        """Drop the cached relay of a group, because it failed."""
        self._cache.pop(group, None)

    async def _start_lookup(
        self, group: Group, max_age_s: float
    ) -> Relay | None:
        task = asyncio.create_task(self._look_up(group, max_age_s))
        self._lookups[group.name] = task
        task.add_done_callback(lambda _: self._lookups.pop(group.name, None))
        return await _await_lookup(task)

    async def _look_up(self, group: Group, max_age_s: float) -> Relay | None:
        asked_s = self._now()
        peers = self._choose(group.name)
        tasks = {
            asyncio.create_task(
                self._client.ask_primary(
                    peer, group.name, max_age_s, _ASK_TIMEOUT_S
                ),
            ): peer
            for peer in peers
        }
        # Requests to slower peers are not cancelled; they end at their timeout.
        self._requests.update(tasks)
        for task in tasks:
            task.add_done_callback(self._requests.discard)
        relay = await self._first_relay(group, asked_s, tasks)
        previous = self._cache.get(group.name)
        if (previous is not None and previous.relay is not None) != bool(relay):
            logger.bind(
                group=group.name,
                asked=[peer.host for peer in peers],
                relay=str(relay) if relay else '',
            ).info('relay_sought')
        ttl_s = _NO_RELAY_CACHE_S if relay is None else _RELAY_CACHE_S
        self._cache[group.name] = _CachedRelay(relay, self._now() + ttl_s)
        return relay

    async def _first_relay(
        self,
        group: Group,
        asked_s: float,
        tasks: dict[asyncio.Task[PrimaryReport | None], Peer],
    ) -> Relay | None:
        pending = set(tasks)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                report = task.result()
                if report is not None:
                    group.record_relayed_position(
                        report.member_id,
                        asked_s - report.age_s,
                        report.position,
                    )
                    return PeerRelay(
                        tasks[task], self._client, self, self._keys
                    )
        return None


async def _await_lookup(task: asyncio.Task[Relay | None]) -> Relay | None:
    """Wait for a shared lookup without cancelling it for the others."""
    return await asyncio.shield(task)
