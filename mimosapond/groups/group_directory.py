"""All database groups that this host knows, updated from registrations."""

import math
from collections.abc import Callable, Iterable
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.configuration import Configuration
from mimosapond.groups.absences import Absences
from mimosapond.groups.concurrency_limit import ConcurrencyLimit
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.connection_share import connection_limit_count
from mimosapond.groups.group import Group
from mimosapond.groups.holding import Holding, HoldsAll
from mimosapond.groups.member import Member
from mimosapond.groups.member_admission import MemberAdmission
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_log import log_new_start
from mimosapond.groups.member_port import MemberDialer
from mimosapond.groups.member_record import MemberRecord

# Time for which a member without a registration is kept. It is still asked
# during a promotion, because it may have received commits while only its
# connection to the store is broken.
_UNLISTED_RETENTION_S: Final = 20.0
# Grace period after an outage of the registry, within which every live member
# registers again.
_REREGISTRATION_GRACE_S: Final = 2.5
_HOLDS_ALL: Final = HoldsAll()


@final
class GroupDirectory:
    """Holds the groups by name, with their members and connection limits."""

    def __init__(
        self, dialer: MemberDialer, now: Now, holding: Holding = _HOLDS_ALL
    ) -> None:
        """Create a directory without groups.

        Parameters
        ----------
        holding
            Tells which groups this host holds, and how many others do.
        """
        self._holding = holding
        self._dialer = dialer
        self._now = now
        self._created_s = now()
        self._connection_counts: dict[str, int] = {}
        self._records: tuple[MemberRecord, ...] = ()
        self._listed_since_s: dict[str, float] = {}
        self._absences = Absences(now)
        self.groups: dict[str, Group] = {}
        # Whether the last read of the registry succeeded.
        self.is_current = False
        self.registrations_complete_from_s = (
            self._created_s + _REREGISTRATION_GRACE_S
        )
        self._unlist_from_s: float = 0
        # Time at which the first successful read of the registry began.
        self.first_read_s = math.inf
        # Time at which the last successful read of the registry began, and the
        # number of such reads.
        self.read_s = -math.inf
        self.read_count = 0
        self.on_read: Callable[[], None] = _do_nothing

    @property
    def are_registrations_complete(self) -> bool:
        """Whether all live members have had time to register.

        A host that started after some registrations had lapsed does not know
        these members until they register again.
        """
        return self._now() >= self.registrations_complete_from_s

    def now(self) -> float:
        """Return the time on the clock of this directory."""
        return self._now()

    def is_read_within(self, age_s: float) -> bool:
        """Return whether the last read began at most ``age_s`` ago."""
        return self._now() - self.read_s < age_s

    def has_forgotten(self, group: Group, member_id: str) -> bool:
        """Return whether a member counts as lost for good, with its log.

        It has not been registered for a while. A host that has just started
        cannot tell how long ago a registration lapsed.
        """
        reading_s = self._now() - self.first_read_s
        return (
            member_id not in group.members and reading_s > _UNLISTED_RETENTION_S
        )

    def absence_s(self, group: Group, member_id: str) -> float:
        """Return for how long a member has not been registered."""
        member = group.members.get(member_id)
        if member is None:
            return self._absences.duration_s(member_id)
        if member.unlisted_since_s is None:
            return 0
        return self._now() - member.unlisted_since_s

    @property
    def holds_any(self) -> bool:
        """Whether this host holds any group."""
        return any(self._holding.holds(name) for name in self.groups)

    def get_or_create(self, name: str) -> Group:
        """Return a group, created without members if it is not known yet."""
        if name not in self.groups:
            self.groups[name] = Group(name, self._now())
        return self.groups[name]

    def apply_limits(self, configuration: Configuration) -> None:
        """Adopt the groups of a configuration and their connection limits.

        Members whose group was not configured before are adopted as well.
        """
        self._connection_counts = {
            limits.group: limits.connection_count
            for limits in configuration.groups.values()
        }
        for limits in configuration.groups.values():
            group = self.get_or_create(limits.group)
            group.needs_replica = limits.sync_replica_count > 0
        for record in self._records:
            self._apply(record)
        self.update_pool_limits()

    def request_checks(self) -> None:
        """Have the monitors of all groups check them now.

        Which groups this host holds may have changed.
        """
        for group in self.groups.values():
            group.primary_check_needed.set()

    def record_registry_outage(self) -> None:
        """Record that the registry did not answer.

        Registrations may lapse during the outage, and members renew them only
        after it. No member is therefore treated as unregistered until the
        grace period after the outage has passed.
        """
        self.is_current = False
        self._absences.clear()
        self._unlist_from_s = self._now() + _REREGISTRATION_GRACE_S
        self.registrations_complete_from_s = self._unlist_from_s

    def defer_unlisting(self, wait_s: float) -> None:
        """Treat no member as unregistered for some time.

        Another host saw an outage of the registry that this host did not.
        """
        self._unlist_from_s = max(self._unlist_from_s, self._now() + wait_s)
        self.registrations_complete_from_s = max(
            self.registrations_complete_from_s, self._unlist_from_s
        )

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """The registrations that were read last."""
        return self._records

    @property
    def unlisting_wait_s(self) -> float:
        """Time for which a missing registration is not taken as final."""
        return max(self._unlist_from_s - self._now(), 0)

    def apply_registrations(
        self, records: Iterable[MemberRecord], read_s: float | None = None
    ) -> None:
        """Adopt the members that are registered now.

        Parameters
        ----------
        read_s
            Time at which the read began; by default the present time.
        """
        self._records = tuple(records)
        registered = {record.member_id for record in self._records}
        self._record_listing(registered)
        self._absences.note_registered(registered)
        for record in self._records:
            self._apply(record)
        self.update_pool_limits()
        self.is_current = True
        self.read_s = self._now() if read_s is None else read_s
        self._confirm_processes(registered)
        self.first_read_s = min(self.first_read_s, self.read_s)
        self.read_count += 1
        self.on_read()
        if self._now() < self._unlist_from_s:
            return
        for group in tuple(self.groups.values()):
            for member in tuple(group.members.values()):
                if member.member_id not in registered:
                    self._unlist(group, member)

    def update_pool_limits(self) -> None:
        """Adopt the connection limits that follow from the held groups."""
        for group in self.groups.values():
            for member in group.members.values():
                member.set_connection_limit(self._pool_limit_count(group.name))

    def _apply(self, record: MemberRecord) -> None:
        """Adopt a member, unless no configuration names its group.

        A group that only an entry of another program names would never have a
        primary, and this host would wait for it.
        """
        if record.group not in self._connection_counts:
            return
        group = self.get_or_create(record.group)
        member = group.members.get(record.member_id)
        log_new_start(member, record)
        if member is not None and _is_other_process(member, record):
            group.suspect_primary(member, 'the member is another process')
            member.close()
            member = None
        if member is None:
            group.members[record.member_id] = self._create(record)
            logger.bind(
                group=record.group,
                member=record.member_id,
                is_leaving=record.is_leaving,
                born_ms=record.born_ms,
            ).info('member_found')
            return
        if record.is_leaving and not member.record.is_leaving:
            logger.bind(group=record.group, member=record.member_id).info(
                'member_leaving'
            )
            group.primary_check_needed.set()
            member.leaving_since_s = self._now()
        if not record.is_leaving:
            # It may have started again under its id.
            member.leaving_since_s = None
            member.is_drain_start_known = True
        member.record = _with_known_start(record, member.record)
        member.unlisted_since_s = None

    def _confirm_processes(self, registered: set[str]) -> None:
        """Note when each member was last read with its present process."""
        for group in self.groups.values():
            for member in group.members.values():
                if member.member_id in registered:
                    member.load.identity.confirmed_s = self.read_s

    def _record_listing(self, registered: set[str]) -> None:
        """Note since when this host knows each member to be registered."""
        self._listed_since_s = {
            member_id: self._listed_since_s.get(member_id, self._now())
            for member_id in registered
        }

    def _create(self, record: MemberRecord) -> Member:
        load = MemberLoad(self._now)
        pool = ConnectionPool(record, self._dialer, load, self._now)
        limit = ConcurrencyLimit(
            self._now(), record.slot_count, record.warm_up_left_ms
        )
        member = Member(
            record,
            pool,
            load,
            MemberAdmission(record.member_id, limit, load, self._now),
            leaving_since_s=self._now() if record.is_leaving else None,
            listed_since_s=self._listed_since_s.get(
                record.member_id, self._now()
            ),
            is_drain_start_known=not record.is_leaving,
        )
        member.set_connection_limit(self._pool_limit_count(record.group))
        return member

    def _pool_limit_count(self, group: str) -> int:
        """Return how many connections this host may open to each member."""
        return connection_limit_count(
            self._holding.share(group),
            self._connection_counts.get(group, 1),
            self._now() - self._created_s,
        )

    def _unlist(self, group: Group, member: Member) -> None:
        if member.unlisted_since_s is None:
            member.unlisted_since_s = self._now()
            logger.bind(group=group.name, member=member.member_id).info(
                'member_unlisted'
            )
        elif self._now() - member.unlisted_since_s > _UNLISTED_RETENTION_S:
            group.members.pop(member.member_id)
            self._absences.note_absent(
                member.member_id, member.unlisted_since_s
            )
            group.suspect_primary(member, 'unlisted')
            member.close()


def _is_other_process(member: Member, record: MemberRecord) -> bool:
    """Return whether a member was started again, perhaps at another address."""
    known = member.record
    has_moved = (known.ip, known.port) != (record.ip, record.port)
    is_start_known = None not in {known.born_ms, record.born_ms}
    return has_moved or (is_start_known and known.born_ms != record.born_ms)


def _with_known_start(
    record: MemberRecord, known: MemberRecord
) -> MemberRecord:
    """Return a registration with the start that is known of the process.

    A host of an earlier version hands on registrations without it.
    """
    if record.born_ms is not None:
        return record
    return attrs.evolve(record, born_ms=known.born_ms)


def _do_nothing() -> None:
    """Stand in for a listener of new registrations."""
