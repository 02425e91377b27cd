"""Hosts that change the primary of a group in memory, or confirm its commits."""

import asyncio
import random
from collections.abc import Callable
from typing import final

from features.change_connections import ProcessDialer
from features.change_group import ChangeGroup
from features.change_platform import ChangePromotions, ChangeStore, HostStore
from features.group_builders import (
    DRAIN_S,
    GROUP,
    build_configuration,
    build_route,
)
from mimosapond.failover.departure_detector import DepartureDetector
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.member_fanout import gather_answers
from mimosapond.failover.promoter import Promoter
from mimosapond.failover.reserved_token_claims import ReservedTokenClaims
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.platform.store_claims import StoreClaims
from mimosapond.routing.commit_witnesses import CommitWitnesses, Confirmation
from mimosapond.routing.pending_change_check import (
    PendingChangeCheck,
    RecordSource,
)
from mimosapond.routing.primary_probe import PrimaryProbe, ProbeResult
from mimosapond.routing.relay_port import NoRelays


@final
class HostView:
    """What a host knows of the group, from its own reads of the store."""

    def __init__(
        self,
        name: str,
        group: ChangeGroup,
        store: ChangeStore,
        draws: random.Random,
        now: Callable[[], float],
        *,
        resumes_late: bool,
    ) -> None:
        """Start a host, which has read nothing yet.

        Parameters
        ----------
        resumes_late
            Whether its requests to resume may be carried out late.
        """
        self.name = name
        self.store = HostStore(store, group, name)
        self.directory = GroupDirectory(
            ProcessDialer(
                group.processes, name, draws, resumes_late=resumes_late
            ),
            now,
        )
        self.directory.apply_limits(build_configuration(build_route()))
        self.poller = RegistrationPoller(self.store, self.directory)
        self.group.needs_replica = True

    @property
    def group(self) -> Group:
        """The group as the host sees it."""
        return self.directory.get_or_create(GROUP)


@final
class ChangingHost:
    """A host that replaces the primary."""

    def __init__(
        self,
        view: HostView,
        promotions: ChangePromotions,
        now: Callable[[], float],
    ) -> None:
        """Start the host."""
        self.view = view
        self._probe = PrimaryProbe(now, NoRelays())
        self.claims = ReservedTokenClaims(
            StoreClaims(view.store, view.name, now), now, lambda: True
        )
        self._failover = FailoverCoordinator(
            self.claims,
            Promoter(promotions, self._probe, now),
            GroupMembership(
                DepartureDetector(view.directory, DRAIN_S, now),
                view.directory,
                view.poller,
                now,
            ),
            now,
        )

    async def run(self) -> None:
        """Read registrations and reserve tokens until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.view.poller.run())
            tasks.create_task(self.claims.run())

    async def look(self) -> bool:
        """Look for the primary, and keep the record of witnesses up to date.

        Returns
        -------
        bool
            Whether a member accepts no more connections. It may be the primary.
        """
        group = self.view.group
        results = await gather_answers(
            [
                member
                for member in group.members.values()
                if member.unlisted_since_s is None
            ],
            lambda member: self._probe.ask(group, member),
        )
        primary = group.primary
        if primary is not None and results.get(primary) is ProbeResult.silent:
            group.suspect_primary(primary, 'no answer')
        if group.primary is not None and self._failover.roster.is_due(group):
            await self._failover.roster.update(group)
        return ProbeResult.crowded in results.values()

    async def attempt(self, *, is_stalled: bool) -> None:
        """Look for the primary, and change it if that is called for.

        Parameters
        ----------
        is_stalled
            Whether writes at the primary wait for an answer.
        """
        is_crowded = await self.look()
        group = self.view.group
        primary = group.primary
        if primary is None:
            if not is_crowded:
                await self._failover.replace_lost_primary(group)
        elif primary.record.is_leaving:
            await self._failover.hand_over(group, primary)
        elif is_stalled:
            await self._failover.replace_stalled_primary(group, primary)


@final
class ConfirmingHost:
    """A host that tells callers of commits."""

    def __init__(
        self,
        view: HostView,
        now: Callable[[], float],
        records: RecordSource,
    ) -> None:
        """Start the host, which reads the record of the group."""
        self.view = view
        self._witnesses = CommitWitnesses(
            now,
            PendingChangeCheck(
                records, now, lambda: self.view.directory.is_current
            ),
        )

    async def run(self) -> None:
        """Read registrations until cancelled."""
        await self.view.poller.run()

    async def confirm(
        self, member_id: str, position: LogPosition, deadline_s: float
    ) -> bool:
        """Return whether a commit is confirmed; the host knows its primary."""
        primary = self.view.group.members.get(member_id)
        if primary is None:
            return False
        confirmation = await self._witnesses.confirm(
            self.view.group, primary, position, deadline_s
        )
        return confirmation is Confirmation.witnessed
