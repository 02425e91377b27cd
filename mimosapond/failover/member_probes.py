"""Probes of the members of one group by its monitor."""

import asyncio
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult

# Time without contact after which a member with requests in flight is probed.
_SILENCE_TIMEOUT_S: Final = 0.2
# A probe is an empty transaction, which waits for no slot, so its answer takes
# a few milliseconds.
_FIRST_PROBE_TIMEOUT_S: Final = 0.15
# The second probe opens a new connection, so its timeout exceeds the timeout
# for connecting.
_SECOND_PROBE_TIMEOUT_S: Final = 0.35
# Minimum time between two probes of a replica.
_REPLICA_PROBE_INTERVAL_S: Final = 0.5


@final
class MemberProbes:
    """Probes members that are suspect, and replicas in the background."""

    def __init__(self, group: Group, probe: PrimaryProbe, now: Now) -> None:
        """Start without probes."""
        self._group = group
        self._probe = probe
        self._now = now
        self._started_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[ProbeResult]] = set()

    async def ask_twice(self, member: Member) -> ProbeResult:
        """Probe a member, and again on a new connection if that failed.

        The idle connections are closed before the second probe, as a network
        failure may have broken them without notice.
        """
        result = await self._probe.ask(
            self._group, member, _FIRST_PROBE_TIMEOUT_S
        )
        if result in {ProbeResult.leads, ProbeResult.follows}:
            return result
        member.pool.close_idle()
        return await self._probe.ask(
            self._group, member, _SECOND_PROBE_TIMEOUT_S
        )

    def start_due(self, primary: Member) -> None:
        """Start probes of the replicas that are due, in the background.

        These are unreachable and suspect ones, and those without a connection:
        only an older connection shows that a witness has not started again.
        """
        for member in tuple(self._group.members.values()):
            is_due = (
                member.load.is_unreachable
                or self.is_suspect(member)
                or not member.pool.open_count
            )
            if member is not primary and is_due:
                self._start(member)

    def is_suspect(self, member: Member) -> bool:
        """Return whether a member may be unreachable.

        A silent member is suspect if it has an old request in flight, or if
        another member is unreachable, as a partition often cuts off several
        members together.
        """
        if member.unlisted_since_s is not None or not self.is_silent(member):
            return False
        is_another_unreachable = any(
            other.load.is_unreachable
            for other in self._group.members.values()
            if other is not member and other.unlisted_since_s is None
        )
        return (
            is_another_unreachable
            or member.load.oldest_request_age_s() > _SILENCE_TIMEOUT_S
        )

    def is_silent(self, member: Member) -> bool:
        """Return whether a member has not answered for a moment."""
        return not member.load.had_contact_within(_SILENCE_TIMEOUT_S)

    def _start(self, member: Member) -> None:
        last_s = self._started_s.get(
            member.member_id, -_REPLICA_PROBE_INTERVAL_S
        )
        if self._now() - last_s < _REPLICA_PROBE_INTERVAL_S:
            return
        self._started_s[member.member_id] = self._now()
        task = asyncio.create_task(self.ask_twice(member))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
