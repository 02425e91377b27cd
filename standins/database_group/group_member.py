"""State of one member that its connections share."""

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final, final

from mimosapond.clock import MS_PER_S
from standins.database_group.group_settings import GroupSettings, MemberPlace
from standins.database_group.log_entry import LogEntry
from standins.database_group.member_faults import MemberFaults
from standins.database_group.member_log import MemberLog, position_text
from standins.database_group.rule_checks import RuleChecks
from standins.database_group.work_slots import WorkSlots

if TYPE_CHECKING:
    from standins.database_group.wire_connection import WireConnection

# Requests that wait before a member answers RETRY, for each slot.
_QUEUE_PER_SLOT: Final = 4
# The time of a request varies by this part of its mean.
_JITTER: Final = 0.5


@final
class GroupMember:
    """Role, log, slots and connections of a member."""

    def __init__(
        self, place: MemberPlace, settings: GroupSettings, checks: RuleChecks
    ) -> None:
        """Start as a replica with an empty log."""
        self.place = place
        self.settings: Final = settings
        self.checks: Final = checks
        self.faults: Final = MemberFaults()
        self.log: Final = MemberLog()
        self.slots: Final = WorkSlots(
            settings.slots, settings.slots * _QUEUE_PER_SLOT, self.faults
        )
        # Connections that count, and all whose sockets are open.
        self.connections: Final[set[WireConnection]] = set()
        self.opened: Final[set[WireConnection]] = set()
        self.is_primary = False
        self.is_running = True
        self.is_draining = False
        self.paused_term = 0
        self.born_ms = int(time.time() * MS_PER_S)
        self.random: Final = random.Random(f'{settings.seed}{place.member_id}')
        self._changed = asyncio.Event()

    @property
    def member_id(self) -> str:
        """Id in the registrations."""
        return self.place.member_id

    @property
    def is_reachable(self) -> bool:
        """Whether other members and callers reach it."""
        return self.is_running and not self.faults.has('dark')

    @property
    def receives(self) -> bool:
        """Whether commits of a primary reach it."""
        is_stopped = self.paused_term > 0 or self.faults.has('deaf')
        return self.is_reachable and not is_stopped

    @property
    def status(self) -> str:
        """The row that ``STATUS`` returns."""
        is_behind = self.log.received != self.log.applied
        lag_ms = int(self.settings.replication_ms) if is_behind else 0
        role = 'primary' if self.is_primary else 'replica'
        received = position_text(self.log.received)
        return (
            f'{role} {self.log.term} {received} {self.paused_term}'
            f' {lag_ms} {self.slots.busy_count} {len(self.connections)}'
        )

    def leads(self, term: int) -> bool:
        """Return whether it leads, and did so without a break since ``term``."""
        return self.is_running and self.is_primary and self.log.term == term

    def work_s(self, mean_ms: float) -> float:
        """Draw the time that a request takes."""
        part = self.random.uniform(1 - _JITTER, 1 + _JITTER)
        return mean_ms * part / MS_PER_S

    def notify(self) -> None:
        """Wake those that wait for a change of role, state or position."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def wait_change(self) -> None:
        """Wait until the next change."""
        await self._changed.wait()

    async def wait_acknowledged(self, entry: LogEntry) -> bool:
        """Wait for the replication of a commit; False if the lead is lost."""
        while self.leads(entry.term) and self.log.applied[1] < entry.number:
            await self.wait_change()
        return self.leads(entry.term)
