"""Keeps the recorded witnesses of a group up to date.

A member that joined witnesses commits only once it is in the record, and a
process that has ended leaves the record once another witness has all commits that
it may have witnessed (``docs/design.md``, section 15).
"""

import asyncio
import random
from collections import defaultdict
from typing import Final, TypeAlias, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.claim_port import ClaimPort, FoundRecord
from mimosapond.failover.control_requests import (
    MemberReport,
    fetch_all_statuses,
    fetch_status,
)
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.groups.group import Group
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.lead import UNKNOWN_TERM
from mimosapond.groups.member import Member
from mimosapond.groups.member_log import process_label
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.member_status import MemberStatus

# Time for which a member has to be registered before it witnesses commits. A
# host that changes the primary without the store may have read the registrations
# up to 4 s before, and pauses the members within 3 s.
MIN_LISTED_S: Final = 7.0
# Time between two attempts to bring the record up to date.
_RETRY_INTERVAL_S: Final = 0.5
# Age of a commit that no witness has, after which the record is read again.
_STALLED_COMMIT_S: Final = 0.5
_CATCH_UP_ATTEMPT_COUNT: Final = 5
_CATCH_UP_INTERVAL_S: Final = 0.02

_Processes: TypeAlias = frozenset[MemberProcess]


@final
class WitnessRoster:
    """Reads the records of groups, and adds and removes witnesses."""

    def __init__(
        self, claims: ClaimPort, membership: GroupMembership, now: Now
    ) -> None:
        """Create a roster that has read no record yet.

        Parameters
        ----------
        claims
            Keep the records.
        membership
            Tells which members have left.
        """
        self._claims = claims
        self._membership = membership
        self._now = now
        self._next_s: defaultdict[str, float] = defaultdict(float)

    def is_due(self, group: Group) -> bool:
        """Return whether the record may be out of date."""
        if not group.needs_replica or self._now() < self._next_s[group.name]:
            return False
        record = group.record
        if record is None or record.witnesses is None:
            return True
        age_s = group.confirmations.oldest_age_s(self._now())
        return (
            age_s > _STALLED_COMMIT_S
            or _is_term_missing(record, group.primary)
            or self._next_witnesses(group, record.witnesses) != record.witnesses
        )

    async def update(self, group: Group) -> None:
        """Read the record, and bring its witnesses up to date if it is safe."""
        self._next_s[group.name] = self._now() + _RETRY_INTERVAL_S * (
            1 + random.random()
        )
        primary = group.primary
        found = await self._read_unchanging(group, primary)
        if found is not None and _is_term_missing(found.record, primary):
            await self._record_term(group, primary, found)
            found = await self._read_unchanging(group, primary)
        if found is None or primary is None:
            return
        if found.record.witnesses is None:
            await self._begin(group, found)
            return
        await self._replace(group, primary, found, found.record.witnesses)

    async def read(self, group: Group) -> FoundRecord | None:
        """Read the record of a group; None if the store does not answer."""
        found = await self._claims.read_record(group.name)
        if found is not None:
            group.record = found.record
        return found

    async def _read_unchanging(
        self, group: Group, primary: Member | None
    ) -> FoundRecord | None:
        """Return the record of a group; None if its primary may change."""
        found = await self.read(group)
        if found is None or found.is_claimed or primary is None:
            return None
        if found.record.is_change_pending(primary.member_id):
            return None
        return found

    async def _begin(self, group: Group, found: FoundRecord) -> None:
        """Record the first witnesses of a group.

        Nobody has acknowledged a commit before. If a lead is recorded, hosts of
        an earlier version may have.
        """
        if not self._membership.is_fully_known(group):
            return
        is_new = found.record.lead is None
        witnesses = frozenset(
            member.record.process
            for member in group.members.values()
            if member.accepts_new_work and (is_new or self._is_known(member))
        )
        if witnesses:
            await self._record(group, found, witnesses)

    async def _replace(
        self,
        group: Group,
        primary: Member,
        found: FoundRecord,
        witnesses: _Processes,
    ) -> None:
        following = self._next_witnesses(group, witnesses)
        if following == witnesses:
            return
        status = await fetch_status(primary)
        if status is None or not status.is_primary:
            return
        replicas = [
            member
            for member in group.members.values()
            if member.member_id != primary.member_id
            and member.record.process in witnesses | following
        ]
        reports = tuple((await fetch_all_statuses(replicas)).values())
        answered = {each.member.record.process for each in reports}
        answered.add(primary.record.process)
        staying = witnesses & following
        group.is_left_paused = any(each.status.paused_term for each in reports)
        if not _is_undisturbed(
            reports, status, staying - {primary.record.process}
        ):
            return
        following = staying | (following & answered)
        if witnesses != staying and not await _has_caught_up(
            [each for each in replicas if each.record.process in following],
            status,
        ):
            return
        if following != witnesses:
            await self._record(group, found, following)

    async def _record_term(
        self, group: Group, primary: Member | None, found: FoundRecord
    ) -> None:
        """Record the term of a lead that the promoting host did not see."""
        status = None if primary is None else await fetch_status(primary)
        lead = found.record.lead
        if lead is None or status is None or not status.is_primary:
            return
        record = attrs.evolve(found.record, lead=lead.began_in(status.term))
        if await self._claims.replace_record(group.name, found, record):
            group.record = record

    async def _record(
        self, group: Group, found: FoundRecord, witnesses: _Processes
    ) -> None:
        record = attrs.evolve(found.record, witnesses=witnesses)
        is_recorded = await self._claims.replace_record(
            group.name, found, record
        )
        logger.bind(
            group=group.name,
            witnesses=[process_label(process) for process in sorted(witnesses)],
            is_recorded=is_recorded,
        ).info('witnesses_recorded')
        if is_recorded:
            group.record = record

    def _next_witnesses(
        self, group: Group, witnesses: _Processes
    ) -> _Processes:
        """Return the witnesses as they should be."""
        known_ids = {process.member_id for process in witnesses}
        joining = frozenset(
            member.record.process
            for member in group.members.values()
            if member.accepts_new_work
            and (member.member_id in known_ids or self._is_known(member))
        )
        ended = {
            each
            for each in witnesses
            if self._membership.has_ended(group, each)
        }
        return (witnesses | joining) - ended

    def _is_known(self, member: Member) -> bool:
        """Return whether every host that changes the primary knows a member."""
        return self._now() - member.listed_since_s >= MIN_LISTED_S


def _is_term_missing(record: GroupRecord, primary: Member | None) -> bool:
    """Return whether a primary leads whose term is not recorded."""
    lead = record.lead
    return (
        lead is not None
        and primary is not None
        and lead.member_id == primary.member_id
        and lead.term == UNKNOWN_TERM
    )


def _is_undisturbed(
    reports: tuple[MemberReport, ...],
    status: MemberStatus,
    staying: _Processes,
) -> bool:
    """Return whether no change of primary that began before can take effect.

    A change pauses all witnesses, and their pauses end only once no call of it
    can take effect. A witness that stays and is not paused thus shows that none is
    pending. If no replica stays, only the record shows it.

    Parameters
    ----------
    status
        Status of the primary.
    staying
        Replicas that are recorded and have not ended.
    """
    if any(each.status.paused_term for each in reports):
        return False
    following = {
        each.member.record.process
        for each in reports
        if each.status.term == status.term and each.is_process_certain
    }
    return not staying or bool(staying & following)


async def _has_caught_up(
    replicas: list[Member], primary_status: MemberStatus
) -> bool:
    """Return whether a replica has the log that the primary reported before."""
    for _ in range(_CATCH_UP_ATTEMPT_COUNT):
        reports = await fetch_all_statuses(replicas)
        if any(
            each.status.has_log_of(primary_status) for each in reports.values()
        ):
            return True
        await asyncio.sleep(_CATCH_UP_INTERVAL_S)
    return False
