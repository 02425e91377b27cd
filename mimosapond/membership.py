"""The hosts that this host knows, and the state of each.

A record is replaced only by one with a higher incarnation, or with the same
incarnation and a higher-ranked state. Only a host itself increases its
incarnation, so a refuted suspicion that arrives again has no effect.
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
# A dead host that is removed although it still runs can be found again through
# the seed addresses.
_TOMBSTONE_RETENTION_S: Final = 3600
_STATE_RANKS: Final[Mapping[HostState, int]] = types.MappingProxyType(
    {
        HostState.ALIVE: 0,
        HostState.SUSPECT: 1,
        HostState.LEAVING: 2,
        HostState.DEAD: 3,
    },
)


def _precedence(record: HostRecord) -> tuple[int, int]:
    return record.incarnation, _STATE_RANKS[record.state]


@final
class Membership:
    """Records of all known hosts, including this host.

    Attributes
    ----------
    version
        Increases with each record that is applied.
    """

    def __init__(
        self,
        own: HostRecord,
        clock: Clock,
        decisions: DecisionLog,
        probe_interval_s: float,
    ) -> None:
        """Create a membership that contains only this host."""
        self._own_id = own.host_id
        self._records = {own.host_id: own}
        self._clock = clock
        self._decisions = decisions
        self._suspicion_timeout_s = probe_interval_s * _SUSPICION_PERIOD_COUNT
        self._suspicion_deadlines_s: dict[str, float] = {}
        self._tombstone_expiries_s: dict[str, float] = {}
        self._listeners: list[Callable[[HostRecord], None]] = []
        self.version = 0

    @property
    def own(self) -> HostRecord:
        """Record of this host."""
        return self._records[self._own_id]

    def subscribe(self, listener: Callable[[HostRecord], None]) -> None:
        """Call ``listener`` with each record that is applied from now on."""
        self._listeners.append(listener)

    def hosts(self) -> tuple[HostRecord, ...]:
        """Return all hosts that are not dead, including this host."""
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
        """Return the hosts that died within the retention period."""
        return tuple(
            self._records[host_id] for host_id in self._tombstone_expiries_s
        )

    def host(self, host_id: str) -> HostRecord | None:
        """Return the record of ``host_id``, which may be dead.

        None for an unknown host.
        """
        return self._records.get(host_id)

    def placeable(self) -> tuple[HostRecord, ...]:
        """Return the hosts that may get ownership of members."""
        return tuple(
            record for record in self._records.values() if record.is_placeable
        )

    def merge(self, record: HostRecord) -> bool:
        """Apply a record that a peer reported.

        A report that this host is suspect or dead is refuted with a higher
        incarnation.

        Returns
        -------
        bool
            Whether the record changed the membership.
        """
        if record.host_id == self._own_id:
            return self._merge_own(record)
        known = self._records.get(record.host_id)
        if known is None:
            if record.state is HostState.DEAD:
                return False
        elif _precedence(record) <= _precedence(known):
            return False
        self._replace(record, 'reported')
        return True

    def leave(self) -> None:
        """Mark this host as leaving, which cannot be undone."""
        if self.own.state is not HostState.LEAVING:
            self._replace(
                attrs.evolve(self.own, state=HostState.LEAVING), 'leave'
            )

    def mark_alive(self, host_id: str) -> None:
        """Clear a suspicion, because the host answered a probe."""
        self._suspicion_deadlines_s.pop(host_id, None)
        self._transition(
            host_id, HostState.SUSPECT, HostState.ALIVE, 'answered'
        )

    def mark_suspect(self, host_id: str) -> None:
        """Suspect the host, because no probe of it was answered."""
        known = self._records.get(host_id)
        if known is None or known.state is HostState.DEAD:
            return
        # A leaving host keeps its state, but its suspicion times out too.
        self._start_suspicion(host_id)
        self._transition(
            host_id, HostState.ALIVE, HostState.SUSPECT, 'no answer'
        )

    def mark_leaving(self, host_id: str, evidence: str) -> None:
        """Mark a live host as leaving, for example by the host list."""
        known = self._records.get(host_id)
        if known is not None and known.is_placeable:
            self._replace(
                attrs.evolve(known, state=HostState.LEAVING), evidence
            )

    def mark_dead(self, host_id: str, evidence: str = 'suspicion') -> None:
        """Mark the host as dead."""
        known = self._records.get(host_id)
        if known is None or known.state is HostState.DEAD:
            return
        self._replace(attrs.evolve(known, state=HostState.DEAD), evidence)

    def restart_suspicions(self) -> None:
        """Restart the suspicion timeout of all suspect hosts.

        After a pause of this process, their refutations may have arrived but
        not been processed yet.
        """
        deadline_s = self._clock.monotonic_s() + self._suspicion_timeout_s
        self._suspicion_deadlines_s = dict.fromkeys(
            self._suspicion_deadlines_s, deadline_s
        )

    def expire(self) -> None:
        """Mark hosts dead whose suspicion timed out; remove old dead hosts."""
        now_s = self._clock.monotonic_s()
        for host_id, deadline_s in tuple(self._suspicion_deadlines_s.items()):
            if deadline_s <= now_s:
                self.mark_dead(host_id, 'suspicion not refuted in time')
        for host_id, expiry_s in tuple(self._tombstone_expiries_s.items()):
            if expiry_s <= now_s:
                self._tombstone_expiries_s.pop(host_id)
                self._records.pop(host_id)

    def _merge_own(self, record: HostRecord) -> bool:
        if _precedence(record) <= _precedence(self.own):
            return False
        if record.state is HostState.LEAVING:
            self._replace(record, 'reported')
            return True
        refuted = attrs.evolve(self.own, incarnation=record.incarnation + 1)
        self._replace(refuted, f'refutes {record.state}')
        return True

    def _transition(
        self,
        host_id: str,
        expected: HostState,
        state: HostState,
        evidence: str,
    ) -> None:
        known = self._records.get(host_id)
        if known is not None and known.state is expected:
            self._replace(attrs.evolve(known, state=state), evidence)

    def _start_suspicion(self, host_id: str) -> None:
        deadline_s = self._clock.monotonic_s() + self._suspicion_timeout_s
        self._suspicion_deadlines_s.setdefault(host_id, deadline_s)

    def _replace(self, record: HostRecord, evidence: str) -> None:
        self._records[record.host_id] = record
        self.version += 1
        self._update_deadlines(record)
        self._decisions.record(
            'membership',
            evidence,
            host=record.host_id,
            state=record.state,
            incarnation=record.incarnation,
        )
        for listener in self._listeners:
            listener(record)

    def _update_deadlines(self, record: HostRecord) -> None:
        host_id = record.host_id
        self._tombstone_expiries_s.pop(host_id, None)
        if record.state is HostState.SUSPECT:
            self._start_suspicion(host_id)
            return
        self._suspicion_deadlines_s.pop(host_id, None)
        if record.state is HostState.DEAD:
            now_s = self._clock.monotonic_s()
            self._tombstone_expiries_s[host_id] = now_s + _TOMBSTONE_RETENTION_S
