"""Failure detection of hosts by SWIM.

Each period one peer is probed, in a shuffled round robin, so that every peer
is probed within a bounded time at a cost that does not depend on the number
of hosts.
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
# Longer than a step with all its time-outs, so this process was paused.
_PAUSE_PERIOD_COUNT: Final = 4


@final
class Prober:
    """Probes one peer per period."""

    def __init__(
        self,
        gossip: GossipState,
        contacts: PeerContacts,
        clock: Clock,
        options: Options,
    ) -> None:
        """Take the peers and the state that probes carry."""
        self._gossip = gossip
        self._contacts = contacts
        self._membership = contacts.membership
        self._clock = clock
        self._interval_s = options.probe_interval_ms / MS_PER_S
        self._stepped_s = clock.monotonic_s()
        self._round: deque[str] = deque()

    async def run(self) -> None:
        """Probe for ever."""
        while True:
            started_s = self._clock.monotonic_s()
            await self.step()
            spent_s = self._clock.monotonic_s() - started_s
            await self._clock.sleep(max(0, self._interval_s - spent_s))

    async def step(self) -> None:
        """Time out suspicions and probe the next peer."""
        self._expire()
        target = self._next()
        if target is None:
            return
        if await self._reach(target):
            self._membership.mark_alive(target.host_id)
            return
        self._membership.mark_suspect(target.host_id)
        # The suspect is probed again first, so that it learns of the
        # suspicion while there is time to refute it.
        self._round.appendleft(target.host_id)

    def _expire(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._stepped_s > self._interval_s * _PAUSE_PERIOD_COUNT:
            self._membership.restart_suspicions()
        self._stepped_s = now_s
        self._membership.expire()

    def _next(self) -> HostRecord | None:
        if not self._round:
            known = [record.host_id for record in self._membership.peers()]
            self._contacts.rng.shuffle(known)
            self._round.extend(known)
        while self._round:
            record = self._membership.host(self._round.popleft())
            if record is not None and record.state is not HostState.DEAD:
                return record
        return None

    async def _reach(self, target: HostRecord) -> bool:
        timeout_s = self._interval_s * _DIRECT_TIMEOUT_RATIO
        if await self._probe(target, timeout_s, fresh=False):
            return True
        timeout_s = self._interval_s * _INDIRECT_TIMEOUT_RATIO
        helpers = self._contacts.sample_hosts(_INDIRECT_COUNT, target.host_id)
        # An open connection may be silent while a new one works.
        attempts = [self._probe(target, timeout_s, fresh=True)]
        attempts.extend(
            self._probe_through(helper, target, timeout_s) for helper in helpers
        )
        return any(await asyncio.gather(*attempts))

    async def _probe(
        self,
        target: HostRecord,
        timeout_s: float,
        *,
        fresh: bool,
    ) -> bool:
        result = await self._contacts.call(
            target.address,
            'probe',
            self._gossip.compose(target.host_id),
            timeout_s,
            fresh=fresh,
        )
        if not isinstance(result, PeerAnswered):
            return False
        sender = await self._gossip.receive(result.body)
        if sender is None:
            return False
        if sender.host_id != target.host_id:
            evidence = f'{sender.host_id} answers at its address'
            self._membership.mark_dead(target.host_id, evidence)
        return True

    async def _probe_through(
        self,
        helper: HostRecord,
        target: HostRecord,
        timeout_s: float,
    ) -> bool:
        body: dict[str, Any] = self._gossip.compose(helper.host_id)
        body['target'] = target.host_id
        body['timeout_ms'] = int(timeout_s * _DIRECT_TIMEOUT_RATIO * MS_PER_S)
        result = await self._contacts.call(
            helper.address,
            'probe_indirect',
            body,
            timeout_s,
        )
        if not isinstance(result, PeerAnswered):
            return False
        await self._gossip.receive(result.body)
        return bool(result.body['reached'])
