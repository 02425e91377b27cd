"""Choice of the member that answers a read soonest."""

from collections.abc import Collection
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member

# One way and back between data centres, and the price of the bytes.
_REMOTE_COST_S: Final = 0.002
# What a replica usually needs to apply what it has received.
_REPLICA_APPLY_S: Final = 0.01
# Its slots are the only ones that can write.
_PRIMARY_COST_FACTOR: Final = 2.0
_AVOIDED_PENALTY_S: Final = 5.0


@final
class MemberSelector:
    """Ranks members by the time that a read is expected to take."""

    def __init__(self, data_centre: str, now: Now) -> None:
        """Take the data centre of this host."""
        self._data_centre = data_centre
        self._now = now

    def choose(
        self,
        group: Group,
        position: LogPosition,
        excluded: Collection[Member],
    ) -> Member | None:
        """Return the best member; None if all are excluded."""
        candidates = [
            member
            for member in group.members.values()
            if member.accepts_new_work and member not in excluded
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda member: self._expected_s(group, member, position),
        )

    def _expected_s(
        self, group: Group, member: Member, position: LogPosition
    ) -> float:
        load = member.load
        expected_s = (load.in_flight_count + 1) * load.latency_s
        if member is group.primary:
            expected_s *= _PRIMARY_COST_FACTOR
        elif load.position is None or load.position < position:
            expected_s += _REPLICA_APPLY_S
        if member.record.data_centre != self._data_centre:
            expected_s += _REMOTE_COST_S
        if load.avoid_until_s > self._now():
            expected_s += _AVOIDED_PENALTY_S
        return expected_s
