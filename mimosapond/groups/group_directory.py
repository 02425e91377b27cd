"""All database groups that this host knows, kept up by registrations."""

from collections.abc import Iterable
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.configuration import Configuration
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.group import Group
from mimosapond.groups.member import Member
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberDialer
from mimosapond.groups.member_record import MemberRecord

# An unlisted member is still asked during a promotion: it may have received
# commits while only the store cannot see it.
_FORGET_S: Final = 20.0
# Part of a member's connections that one host may open; the rest is for
# other hosts, whose callers are fewer or more at times.
_CONNECTION_RATIO: Final = 0.2
_MIN_CONNECTION_COUNT: Final = 2


@final
class GroupDirectory:
    """Groups by name."""

    def __init__(self, dialer: MemberDialer, now: Now) -> None:
        """Start without groups."""
        self._dialer = dialer
        self._now = now
        self._limit_counts: dict[str, int] = {}
        self.groups: dict[str, Group] = {}
        # Whether the registry answered when it was last asked.
        self.is_current = False

    def find(self, name: str) -> Group:
        """Return a group; one without members if it is not known yet."""
        if name not in self.groups:
            self.groups[name] = Group(name, self._now())
        return self.groups[name]

    def apply_limits(self, configuration: Configuration) -> None:
        """Take over the limits of a configuration."""
        for limits in configuration.groups.values():
            limit_count = max(
                _MIN_CONNECTION_COUNT,
                int(limits.connection_count * _CONNECTION_RATIO),
            )
            self._limit_counts[limits.group] = limit_count
            for member in self.find(limits.group).members.values():
                member.pool.limit_count = limit_count

    def apply_registrations(self, records: Iterable[MemberRecord]) -> None:
        """Take over the members that are registered now."""
        listed = {record.member_id: record for record in records}
        for record in listed.values():
            self._apply(record)
        for group in tuple(self.groups.values()):
            for member in tuple(group.members.values()):
                if member.member_id not in listed:
                    self._unlist(group, member)

    def _apply(self, record: MemberRecord) -> None:
        group = self.find(record.group)
        member = group.members.get(record.member_id)
        if member is None:
            group.members[record.member_id] = self._create(record)
            logger.bind(group=record.group, member=record.member_id).info(
                'member_found'
            )
            return
        if record.is_leaving and not member.record.is_leaving:
            logger.bind(group=record.group, member=record.member_id).info(
                'member_leaving'
            )
            group.doubt.set()
            member.leaving_since_s = self._now()
        member.record = record
        member.unlisted_since_s = None

    def _create(self, record: MemberRecord) -> Member:
        load = MemberLoad(self._now)
        pool = ConnectionPool(record, self._dialer, load, self._now)
        pool.limit_count = self._limit_counts.get(record.group, 1)
        return Member(record, pool, load)

    def _unlist(self, group: Group, member: Member) -> None:
        if member.unlisted_since_s is None:
            member.unlisted_since_s = self._now()
            logger.bind(group=group.name, member=member.member_id).info(
                'member_unlisted'
            )
        elif self._now() - member.unlisted_since_s > _FORGET_S:
            group.members.pop(member.member_id)
            group.doubt_primary(member, 'unlisted')
            member.pool.close()
