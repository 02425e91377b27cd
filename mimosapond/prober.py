"""Failure detection of hosts with the SWIM protocol.

One peer is probed in each period, in shuffled round-robin order. Every peer is
probed within a bounded time, at a cost for each host that does not depend on
the number of hosts.
"""

import asyncio
from collections import deque
from typing import Any, Final, final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.gossip_state import GossipState
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.options import Options
from mimosapond.peer_contacts import PeerContacts
from mimosapond.peer_results import PeerAnswered

_INDIRECT_COUNT: Final = 2
_DIRECT_TIMEOUT_RATIO: Final = 0.8
_INDIRECT_TIMEOUT_RATIO: Final = 1.2
# A step with all its timeouts is shorter, so a longer gap between two steps
# means that this process was paused.
_PAUSE_PERIOD_COUNT: Final = 4


@final
class Prober:
    """Probes one peer in each probe period."""

    def __init__(
        self,
        gossip: GossipState,
        contacts: PeerContacts,
        clock: Clock,
        options: Options,
    ) -> None:
        """Create a prober whose probes carry the changes of ``gossip``."""
        self._gossip = gossip
        self._contacts = contacts
        self._membership = contacts.membership
        self._clock = clock
        self._interval_s = options.probe_interval_ms / MS_PER_S
        self._last_step_s = clock.monotonic_s()
        self._probe_order: deque[str] = deque()

    async def run(self) -> None:
        """Run one step in each probe period until cancelled."""
        while True:
            started_s = self._clock.monotonic_s()
            await self.step()
            spent_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0, self._interval_s - spent_s))

    async def step(self) -> None:
        """Expire suspicions and probe the next peer."""
        self._expire()
        peer = self._next_peer()
        if peer is None:
            return
        if await self._is_reachable(peer):
            self._membership.mark_alive(peer.host_id)
            return
        self._membership.mark_suspect(peer.host_id)
        # The suspect is probed next again, so that it learns of the suspicion
        # in time to refute it.
        self._probe_order.appendleft(peer.host_id)

    def _expire(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._last_step_s > self._interval_s * _PAUSE_PERIOD_COUNT:
            self._membership.restart_suspicions()
        self._last_step_s = now_s
        self._membership.expire()

    def _next_peer(self) -> HostRecord | None:
        if not self._probe_order:
            known = [record.host_id for record in self._membership.peers()]
            self._contacts.rng.shuffle(known)
            self._probe_order.extend(known)
        while self._probe_order:
            record = self._membership.host(self._probe_order.popleft())
            if record is not None and record.state is not HostState.DEAD:
                return record
        return None

    async def _is_reachable(self, peer: HostRecord) -> bool:
        timeout_s = self._interval_s * _DIRECT_TIMEOUT_RATIO
        if await self._probe(peer, timeout_s, fresh=False):
            return True
        timeout_s = self._interval_s * _INDIRECT_TIMEOUT_RATIO
        intermediaries = self._contacts.sample_hosts(
            _INDIRECT_COUNT, peer.host_id
        )
        # An open connection may be broken while a new one works.
        attempts = [self._probe(peer, timeout_s, fresh=True)]
        attempts.extend(
            self._probe_through(intermediary, peer, timeout_s)
            for intermediary in intermediaries
        )
        return any(await asyncio.gather(*attempts))

    async def _probe(
        self,
        peer: HostRecord,
        timeout_s: float,
        *,
        fresh: bool,
    ) -> bool:
        result = await self._contacts.call(
            peer.address,
            'probe',
            self._gossip.compose(peer.host_id),
            timeout_s,
            fresh=fresh,
        )
        if not isinstance(result, PeerAnswered):
            return False
        sender = await self._gossip.receive(result.body)
        if sender is None:
            return False
        if sender.host_id != peer.host_id:
            evidence = f'{sender.host_id} answers at its address'
            self._membership.mark_dead(peer.host_id, evidence)
        return True

    async def _probe_through(
        self,
        intermediary: HostRecord,
        peer: HostRecord,
        timeout_s: float,
    ) -> bool:
        body: dict[str, Any] = self._gossip.compose(intermediary.host_id)
        body['target'] = peer.host_id
        body['timeout_ms'] = int(timeout_s * _DIRECT_TIMEOUT_RATIO * MS_PER_S)
        result = await self._contacts.call(
            intermediary.address,
            'probe_indirect',
            body,
            timeout_s,
        )
        if not isinstance(result, PeerAnswered):
            return False
        await self._gossip.receive(result.body)
        return bool(result.body['reached'])
