"""Selects the member that is expected to answer a read soonest."""

import hashlib
from collections.abc import Collection
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member

# Round-trip time between data centres plus a surcharge for the traffic.
_REMOTE_COST_S: Final = 0.002
# Usual apply lag of a replica.
_REPLICA_APPLY_S: Final = 0.01
# Reads prefer replicas, because only the slots of the primary can run writes.
_PRIMARY_COST_FACTOR: Final = 2.0
# Cost of a member that recently refused or did not answer: it is chosen only
# if the other members are worse.
_AVOIDED_PENALTY_S: Final = 5.0
# Bound of the share of refused statements in the estimate, which divides by the
# share of those that are served.
_MAX_REFUSAL_RATIO: Final = 0.9
# Time that a member spends on a new connection, and as much on the next one of
# the workspace whose connection is closed for it.
_NEW_CONNECTION_COST_S: Final = 0.024
# Largest difference between members without a connection for a workspace. It
# spreads the workspaces over equally good members.
_SPREAD_COST_S: Final = 0.004
_HASH_BYTES: Final = 2
_HASH_RANGE: Final = 65536


@final
class MemberSelector:
    """Ranks members by the time that a read is expected to take."""

    def __init__(self, data_centre: str, now: Now) -> None:
        """Create a selector.

        Parameters
        ----------
        data_centre
            Data centre of this host; members elsewhere cost more.
        """
        self._data_centre = data_centre
        self._now = now

    def choose(
        self,
        group: Group,
        position: LogPosition,
        excluded: Collection[Member],
        workspace: str = '',
    ) -> Member | None:
        """Return the member with the lowest expected response time.

        Parameters
        ----------
        position
            Log position that the member must have applied before the read.
        excluded
            Members that must not be chosen.
        workspace
            Workspace of the read. A member to which this host has an idle
            connection for it is preferred, or else one that its hash chooses.

        Returns
        -------
        Member | None
            None if every member is excluded or takes no new work, or if only
            members are left whose logs lag behind the position.
        """
        candidates = [
            member
            for member in group.members.values()
            if member.accepts_new_work and member not in excluded
        ]
        current = [
            member
            for member in candidates
            if not member.load.lags_behind(position)
        ]
        if not candidates or (excluded and not current):
            return None
        return min(
            current or candidates,
            key=lambda member: (
                self._expected_s(group, member, position)
                + _connecting_s(member, workspace)
            ),
        )

    def _expected_s(
        self, group: Group, member: Member, position: LogPosition
    ) -> float:
        load = member.load
        admission = member.admission
        ahead_count = load.in_flight_count + admission.waiting_count
        expected_s = (ahead_count + 1) * load.latency_s
        if not admission.admits_now:
            # A statement that is admitted elsewhere is served sooner.
            expected_s += load.latency_s / admission.limit.count
        # A member that refuses statements answers quickly and serves few.
        expected_s /= 1 - min(admission.limit.refusal_ratio, _MAX_REFUSAL_RATIO)
        if member is group.primary:
            expected_s *= _PRIMARY_COST_FACTOR
        elif load.position is None or load.position < position:
            expected_s += _REPLICA_APPLY_S
        if member.record.data_centre != self._data_centre:
            expected_s += _REMOTE_COST_S
        if load.avoid_until_s > self._now():
            expected_s += _AVOIDED_PENALTY_S
        return expected_s


def _connecting_s(member: Member, workspace: str) -> float:
    """Return the cost of a connection for a read of a workspace."""
    if not workspace or member.pool.has_idle(workspace):
        return 0
    digest = hashlib.blake2b(
        f'{workspace} {member.member_id}'.encode(), digest_size=_HASH_BYTES
    ).digest()
    ratio: float = int.from_bytes(digest, 'big') / _HASH_RANGE
    return _NEW_CONNECTION_COST_S + ratio * _SPREAD_COST_S
