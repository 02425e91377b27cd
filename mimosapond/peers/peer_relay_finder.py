"""Finds hosts that reach a primary which this host does not reach."""

import asyncio
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient, PrimaryReport
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_relay import PeerRelay
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.routing.relay_port import Relay

_ASKED_PEER_COUNT: Final = 4
# A peer probes the primary before it answers.
_ASK_TIMEOUT_S: Final = 0.2
# How long a peer that reached the primary is used without asking again.
_RELAY_CACHE_S: Final = 0.4
# How long nobody is asked after no peer reached it.
_NO_RELAY_CACHE_S: Final = 0.15


@final
@attrs.frozen
class _CachedRelay:
    relay: Relay | None
    until_s: float


@final
class PeerRelayFinder:
    """Asks some peers at the same time; see ``RelayFinder``."""

    def __init__(
        self,
        directory: PeerDirectory,
        client: PeerClient,
        keys: TransactionKeys,
        now: Now,
    ) -> None:
        """Take the peers, the way to ask them, and keys for their work."""
        self._keys = keys
        self._directory = directory
        self._client = client
        self._now = now
        self._cache: dict[str, _CachedRelay] = {}
        self._asking: set[asyncio.Task[PrimaryReport | None]] = set()
        self._in_flight: dict[str, asyncio.Task[Relay | None]] = {}

    async def find(self, group: Group) -> Relay | None:
        """Return a peer that reached the primary lately."""
        found = self._cache.get(group.name)
        if found is not None and self._now() < found.until_s:
            return found.relay
        task = self._in_flight.get(group.name)
        return await (
            self._start(group, _RELAY_CACHE_S) if task is None else _join(task)
        )

    async def refresh(self, group: Group) -> Relay | None:
        """Return a peer that reached the primary after this call."""
        found = self._cache.get(group.name)
        if found is not None and found.relay is None:
            if self._now() < found.until_s:
                return None
        task = self._in_flight.get(group.name)
        if task is not None:
            await _join(task)
        task = self._in_flight.get(group.name)
        return await (self._start(group, 0) if task is None else _join(task))

    def forget(self, group: str) -> None:
        """Have peers asked again, as the known one failed."""
        self._cache.pop(group, None)

    async def _start(self, group: Group, max_age_s: float) -> Relay | None:
        task = asyncio.create_task(self._ask(group, max_age_s))
        self._in_flight[group.name] = task
        task.add_done_callback(lambda _: self._in_flight.pop(group.name, None))
        return await _join(task)

    async def _ask(self, group: Group, max_age_s: float) -> Relay | None:
        asked_s = self._now()
        peers = self._directory.choose(_ASKED_PEER_COUNT)
        tasks = {
            asyncio.create_task(
                self._client.ask_primary(
                    peer, group.name, max_age_s, _ASK_TIMEOUT_S
                ),
            ): peer
            for peer in peers
        }
        # Slower answers are not cancelled: they end soon by themselves.
        self._asking.update(tasks)
        for task in tasks:
            task.add_done_callback(self._asking.discard)
        relay = await self._first(group, asked_s, tasks)
        before = self._cache.get(group.name)
        if (before is not None and before.relay is not None) != bool(relay):
            logger.bind(
                group=group.name,
                asked=[peer.host for peer in peers],
                relay=str(relay) if relay else '',
            ).info('relay_sought')
        keep_s = _NO_RELAY_CACHE_S if relay is None else _RELAY_CACHE_S
        self._cache[group.name] = _CachedRelay(relay, self._now() + keep_s)
        return relay

    async def _first(
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


async def _join(task: asyncio.Task[Relay | None]) -> Relay | None:
    """Wait for a question that others wait for as well."""
    return await asyncio.shield(task)
