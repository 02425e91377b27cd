"""Which hosts this host knows, and in which state.

Records are applied only upwards: a higher incarnation wins, and within one
incarnation a later life state wins. Only the host itself raises its
incarnation, so a refuted suspicion can't come back.
"""

import types
from collections.abc import Callable, Mapping
from typing import Final, final

import attrs

from mimosapond.clock import Clock
from mimosapond.decision_log import DecisionLog
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState

_SUSPICION_PERIOD_COUNT: Final = 3
# A forgotten dead host that still runs is met again through the seeds.
_TOMBSTONE_RETENTION_S: Final = 3600
_RANKS: Final[Mapping[HostState, int]] = types.MappingProxyType(
    {
        HostState.ALIVE: 0,
        HostState.SUSPECT: 1,
        HostState.LEAVING: 2,
        HostState.DEAD: 3,
    },
)


def _precedence(record: HostRecord) -> tuple[int, int]:
    return record.incarnation, _RANKS[record.state]


@final
class Membership:
    """Records of all known hosts, this host included."""

    def __init__(
        self,
        own: HostRecord,
        clock: Clock,
        decisions: DecisionLog,
        probe_interval_s: float,
    ) -> None:
        """Start with this host alone."""
        self._own_id = own.host_id
        self._records = {own.host_id: own}
        self._clock = clock
        self._decisions = decisions
        self._suspicion_s = probe_interval_s * _SUSPICION_PERIOD_COUNT
        self._suspicions: dict[str, float] = {}
        self._tombstones: dict[str, float] = {}
        self._listeners: list[Callable[[HostRecord], None]] = []
        self.version = 0

    @property
    def own(self) -> HostRecord:
        """Record of this host."""
        return self._records[self._own_id]

    def subscribe(self, listener: Callable[[HostRecord], None]) -> None:
        """Call ``listener`` with each record that is applied."""
        self._listeners.append(listener)

    def hosts(self) -> tuple[HostRecord, ...]:
        """Return all hosts that are not dead, this host included."""
        return tuple(
            record
            for record in self._records.values()
            if record.state is not HostState.DEAD
        )

    def peers(self) -> tuple[HostRecord, ...]:
        """Return all other hosts that are not dead."""
        return tuple(
            record for record in self.hosts() if record.host_id != self._own_id
        )

    def dead(self) -> tuple[HostRecord, ...]:
        """Return the hosts found dead within the retention period."""
        return tuple(self._records[host_id] for host_id in self._tombstones)

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of ``host_id``, also if it is dead."""
        return self._records.get(host_id)

    def placeable(self) -> tuple[HostRecord, ...]:
        """Return the hosts on which ownership may be placed."""
        return tuple(
            record for record in self._records.values() if record.is_placeable
        )

    def merge(self, record: HostRecord) -> bool:
        """Apply what a peer reported; tell whether it was news."""
        if record.host_id == self._own_id:
            return self._merge_own(record)
        known = self._records.get(record.host_id)
        if known is None:
            if record.state is HostState.DEAD:
                return False
        elif _precedence(record) <= _precedence(known):
            return False
        self._put(record, 'reported')
        return True

    def leave(self) -> None:
        """Mark this host as leaving; there is no way back."""
        if self.own.state is not HostState.LEAVING:
            self._put(attrs.evolve(self.own, state=HostState.LEAVING), 'leave')

    def mark_alive(self, host_id: str) -> None:
        """Note that the host answered a probe of this host."""
        self._suspicions.pop(host_id, None)
        self._change(host_id, HostState.SUSPECT, HostState.ALIVE, 'answered')

    def mark_suspect(self, host_id: str) -> None:
        """Note that neither direct nor indirect probes were answered."""
        known = self._records.get(host_id)
        if known is None or known.state is HostState.DEAD:
            return
        # A leaving host keeps its state, but it is timed out likewise.
        self._start_suspicion(host_id)
        self._change(host_id, HostState.ALIVE, HostState.SUSPECT, 'no answer')

    def mark_leaving(self, host_id: str, evidence: str) -> None:
        """Note that the platform lists the host as leaving."""
        known = self._records.get(host_id)
        if known is not None and known.is_placeable:
            self._put(attrs.evolve(known, state=HostState.LEAVING), evidence)

    def mark_dead(self, host_id: str, evidence: str = 'suspicion') -> None:
        """Note that the host is gone."""
        known = self._records.get(host_id)
        if known is None or known.state is HostState.DEAD:
            return
        self._put(attrs.evolve(known, state=HostState.DEAD), evidence)

    def restart_suspicions(self) -> None:
        """Give all suspects the whole time again.

        After a pause of this process their refutations are still unread.
        """
        deadline_s = self._clock.monotonic_s() + self._suspicion_s
        self._suspicions = dict.fromkeys(self._suspicions, deadline_s)

    def expire(self) -> None:
        """Turn old suspicions into deaths and forget old deaths."""
        now_s = self._clock.monotonic_s()
        for host_id, deadline_s in tuple(self._suspicions.items()):
            if deadline_s <= now_s:
                self.mark_dead(host_id, 'suspicion not refuted in time')
        for host_id, forget_s in tuple(self._tombstones.items()):
            if forget_s <= now_s:
                self._tombstones.pop(host_id)
                self._records.pop(host_id)

    def _merge_own(self, record: HostRecord) -> bool:
        if _precedence(record) <= _precedence(self.own):
            return False
        if record.state is HostState.LEAVING:
            self._put(record, 'reported')
            return True
        refuted = attrs.evolve(self.own, incarnation=record.incarnation + 1)
        self._put(refuted, f'refutes {record.state}')
        return True

    def _change(
        self,
        host_id: str,
        expected: HostState,
        state: HostState,
        evidence: str,
    ) -> None:
        known = self._records.get(host_id)
        if known is not None and known.state is expected:
            self._put(attrs.evolve(known, state=state), evidence)

    def _start_suspicion(self, host_id: str) -> None:
        deadline_s = self._clock.monotonic_s() + self._suspicion_s
        self._suspicions.setdefault(host_id, deadline_s)

    def _put(self, record: HostRecord, evidence: str) -> None:
        self._records[record.host_id] = record
        self.version += 1
        self._track(record)
        self._decisions.record(
            'membership',
            evidence,
            host=record.host_id,
            state=record.state,
            incarnation=record.incarnation,
        )
        for listener in self._listeners:
            listener(record)

    def _track(self, record: HostRecord) -> None:
        host_id = record.host_id
        self._tombstones.pop(host_id, None)
        if record.state is HostState.SUSPECT:
            self._start_suspicion(host_id)
            return
        self._suspicions.pop(host_id, None)
        if record.state is HostState.DEAD:
            now_s = self._clock.monotonic_s()
            self._tombstones[host_id] = now_s + _TOMBSTONE_RETENTION_S
