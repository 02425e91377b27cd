"""State that all connections of one member share."""

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final, final

from mimosapond.clock import MS_PER_S
from standins.database_group.group_settings import GroupSettings, MemberEndpoint
from standins.database_group.log_entry import LogEntry
from standins.database_group.member_faults import MemberFaults
from standins.database_group.member_log import MemberLog, position_text
from standins.database_group.receipt_log import ReceiptLog
from standins.database_group.rule_checks import RuleChecks
from standins.database_group.work_slots import WorkSlots

if TYPE_CHECKING:
    from standins.database_group.wire_connection import WireConnection

# Queued requests per slot beyond which a member answers RETRY.
_QUEUE_LIMIT_PER_SLOT: Final = 4
# Largest deviation of the duration of a request, relative to its mean.
_JITTER_RATIO: Final = 0.5


@final
class GroupMember:
    """Role, log, slots, faults and connections of a member."""

    def __init__(
        self,
        endpoint: MemberEndpoint,
        settings: GroupSettings,
        checks: RuleChecks,
        receipts: ReceiptLog,
        acknowledged: list[LogEntry],
    ) -> None:
        """Start as a replica with an empty log.

        Parameters
        ----------
        acknowledged
            Receives the commits that the member acknowledges.
        """
        self.acknowledged: Final = acknowledged
        self.receipts: Final = receipts
        self.endpoint = endpoint
        self.settings: Final = settings
        self.checks: Final = checks
        self.faults: Final = MemberFaults()
        self.log: Final = MemberLog()
        self.slots: Final = WorkSlots(
            settings.slots, settings.slots * _QUEUE_LIMIT_PER_SLOT, self.faults
        )
        # Connections that count against the limit, and those with an open
        # socket. A dropped connection of an unreachable peer keeps its socket.
        self.counted_connections: Final[set[WireConnection]] = set()
        self.open_connections: Final[set[WireConnection]] = set()
        self.is_primary = False
        self.is_running = True
        self.is_draining = False
        # Time at which the store accepted that the member drains.
        self.drain_accepted_s: float | None = None
        self.paused_term = 0
        self.started_ms = int(time.time() * MS_PER_S)
        self.random: Final = random.Random(
            f'{settings.seed}{endpoint.member_id}'
        )
        self._changed = asyncio.Event()

    @property
    def member_id(self) -> str:
        """Id under which the member is registered."""
        return self.endpoint.member_id

    @property
    def is_reachable(self) -> bool:
        """Whether other members and callers can reach it."""
        return self.is_running and not self.faults.has('dark')

    @property
    def accepts_connections(self) -> bool:
        """Whether there are fewer connections than it accepts.

        The ratio of the fault ``occupied`` is the number of connections that
        other programs hold.
        """
        other_count = self.faults.ratio('occupied')
        count = len(self.counted_connections) + other_count
        return count < self.settings.max_connections

    @property
    def draining_ms(self) -> float:
        """Time since the store accepted that it drains; 0 if it does not."""
        if self.drain_accepted_s is None:
            return 0
        return (time.monotonic() - self.drain_accepted_s) * MS_PER_S

    @property
    def receives_commits(self) -> bool:
        """Whether it receives the commits of a primary."""
        is_stopped = self.paused_term > 0 or self.faults.has('deaf')
        return self.is_reachable and not is_stopped

    @property
    def status(self) -> str:
        """The row that ``STATUS`` returns.

        Role, term, received position, term of a pause, lag in milliseconds,
        busy slots and connections, separated by spaces.
        """
        is_behind = self.log.received != self.log.applied
        lag_ms = int(self.settings.replication_ms) if is_behind else 0
        role = 'primary' if self.is_primary else 'replica'
        received = position_text(self.log.received)
        return (
            f'{role} {self.log.term} {received} {self.paused_term}'
            f' {lag_ms} {self.slots.busy_count} {len(self.counted_connections)}'
        )

    def leads(self, term: int) -> bool:
        """Return whether it is the primary and still in the given term."""
        return self.is_running and self.is_primary and self.log.term == term

    def draw_duration_s(self, mean_ms: float) -> float:
        """Draw a random duration for a request, in seconds."""
        factor = self.random.uniform(1 - _JITTER_RATIO, 1 + _JITTER_RATIO)
        return mean_ms * factor / MS_PER_S

    def notify(self) -> None:
        """Wake all tasks that wait for a change of role, state or position."""
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Wait until the next call of ``notify``."""
        await self._changed.wait()

    async def wait_for_replication(self, entry: LogEntry) -> bool:
        """Wait until a replica has a commit; False if leadership is lost."""
        while self.leads(entry.term) and self.log.applied[1] < entry.number:
            await self.wait_for_change()
        return self.leads(entry.term)
