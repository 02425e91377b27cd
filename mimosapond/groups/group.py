"""A database group: its members, its primary and the primary's positions."""

import asyncio
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.acknowledgement_record import AcknowledgementRecord
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import Lead
from mimosapond.groups.leader_observations import LeaderObservations
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.pending_confirmations import PendingConfirmations

# Longest time that a failover takes if detection and promotion succeed at the
# first attempt. Callers that arrive later are refused without waiting.
_MAX_FAILOVER_S: Final = 2.5


@final
class Group:
    """State of a group, shared by the sessions and the primary monitor.

    Parameters
    ----------
    created_s
        Time at which this host created the group; the wait for a first
        primary counts from it.
    """

    def __init__(self, name: str, created_s: float) -> None:
        """Create a group without members."""
        self.name = name
        # Whether members acknowledge commits only once a replica has them.
        self.needs_replica = False
        self.members: dict[str, Member] = {}
        self.observations = LeaderObservations()
        self.acknowledgements = AcknowledgementRecord(boot_time_s)
        # The last known primary and where it was first seen to lead. Its log may
        # be the only one that has all commits up to there.
        self.lead: Lead | None = None
        # What the store had about the group when this host last read it.
        self.record: GroupRecord | None = None
        self.confirmations = PendingConfirmations()
        # Whether a replica was paused while no host held the claim.
        self.is_left_paused = False
        self.primary_confirmed_s = created_s
        self.primary_check_needed = asyncio.Event()
        self._primary: Member | None = None
        self._last_primary_id = ''
        self._primary_confirmed = asyncio.Event()

    @property
    def has_seen_primary(self) -> bool:
        """Whether this host has ever learned of a primary of the group."""
        return bool(self._last_primary_id)

    @property
    def last_primary_id(self) -> str:
        """Id of the member that was last seen to lead; empty without one."""
        return self._last_primary_id

    def successor_of(self, former: Member) -> Member | None:
        """Return a member that started later at the address of another one."""
        return next(
            (
                member
                for member in self.members.values()
                if member is not former
                and member.record.replaces(former.record)
            ),
            None,
        )

    @property
    def is_majority_unreachable(self) -> bool:
        """Whether more than half of the registered members are unreachable."""
        registered = [
            member
            for member in self.members.values()
            if member.unlisted_since_s is None
        ]
        unreachable_count = sum(
            member.load.is_unreachable for member in registered
        )
        return unreachable_count * 2 > len(registered)

    @property
    def primary(self) -> Member | None:
        """The member that last proved to be primary; None while in doubt."""
        return self._primary

    def confirm_primary(
        self, member: Member, asked_s: float, position: LogPosition | None
    ) -> None:
        """Record that a member accepted work that only a primary accepts.

        If two members did so, the newer request decides. Terms cannot decide:
        the term of a position is that of the last commit, which may be the
        same for an earlier and a later primary.

        Parameters
        ----------
        asked_s
            Time at which the request was sent.
        position
            Log position of the answer; without one the answer proves nothing.
        """
        is_new = self._last_primary_id != member.member_id
        if position is None or (is_new and asked_s < self.primary_confirmed_s):
            return
        if self._primary is not member:
            logger.bind(
                group=self.name, member=member.member_id, at=str(position)
            ).info('primary_found')
        if is_new:
            # The log of the new primary may lack unacknowledged commits of the
            # previous primary. No member would ever reach their positions.
            self.observations.clear()
            self.lead = Lead(member.member_id, position, position.term)
            self.acknowledgements.log_before_change(self.name, member.member_id)
        self.primary_confirmed_s = max(asked_s, self.primary_confirmed_s)
        self.observations.add(asked_s, position)
        self._last_primary_id = member.member_id
        self._primary = member
        self._primary_confirmed.set()

    def record_relayed_position(
        self, member_id: str, asked_s: float, position: LogPosition
    ) -> None:
        """Record a position that another host got from the primary.

        The primary may be unreachable from this host, or unknown to it.

        Parameters
        ----------
        asked_s
            Time at which this host asked the other host.
        """
        is_new = self._last_primary_id != member_id
        if is_new and asked_s < self.primary_confirmed_s:
            return
        if is_new:
            self.observations.clear()
            self.lead = Lead(member_id, position, position.term)
            self.acknowledgements.log_before_change(self.name, member_id)
        self._last_primary_id = member_id
        self.primary_confirmed_s = max(asked_s, self.primary_confirmed_s)
        self.observations.add(asked_s, position)

    def settle_lead(self, lead: Lead | None) -> None:
        """Record that a primary leads which no earlier call can replace."""
        if self.record is not None:
            self.record = self.record.settled(lead)

    def start_search(self, now_s: float) -> None:
        """Let requests wait for a primary, as this host only now seeks it."""
        if self._primary is None:
            self.primary_confirmed_s = max(now_s, self.primary_confirmed_s)
        self.primary_check_needed.set()

    def suspect_primary(self, member: Member, reason: str) -> None:
        """Record that a member may no longer be the primary, and why."""
        if self._primary is member:
            logger.bind(
                group=self.name, member=member.member_id, reason=reason
            ).info('primary_doubted')
            self._primary = None
            member.admission.refuse_waiting()
            self._primary_confirmed.clear()
            self.primary_check_needed.set()

    def failover_wait_s(self, now_s: float) -> float:
        """Return for how many seconds a failover is worth waiting for.

        The wait is 0 while most members are unreachable, because this host
        could then neither promote a member nor notice a new primary.
        """
        if self._primary is not None:
            return _MAX_FAILOVER_S
        if self.is_majority_unreachable:
            return 0
        return max(self.primary_confirmed_s + _MAX_FAILOVER_S - now_s, 0)

    async def await_primary(self, limit_s: float) -> Member | None:
        """Return the primary, waiting up to ``limit_s`` while it is in doubt.

        Returns
        -------
        Member | None
            None if no member proved to be the primary in time.
        """
        if self._primary is None and limit_s > 0:
            try:
                async with asyncio.timeout(limit_s):
                    await self._primary_confirmed.wait()
            except TimeoutError:
                return None
        return self._primary
