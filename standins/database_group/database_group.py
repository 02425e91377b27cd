"""Composition of the parts of one database group."""

import asyncio
from typing import Any, Final, final

import attrs

from standins.database_group.fault_call import FaultCall
from standins.database_group.group_member import GroupMember
from standins.database_group.group_settings import GroupSettings, MemberEndpoint
from standins.database_group.log_entry import LogEntry
from standins.database_group.member_log import position_text
from standins.database_group.member_process import MemberProcess
from standins.database_group.member_replacer import MemberReplacer
from standins.database_group.promotion import Promotion
from standins.database_group.receipt_log import ReceiptLog
from standins.database_group.rule_checks import RuleChecks
from standins.database_group.stuck_transaction_monitor import (
    STUCK_TIMEOUT_S,
    StuckTransactionMonitor,
)


@final
class DatabaseGroup:
    """The members of a group with replication, promotion and faults."""

    def __init__(
        self, settings: GroupSettings, stuck_timeout_s: float = STUCK_TIMEOUT_S
    ) -> None:
        """Build all parts; the first member is the primary.

        Parameters
        ----------
        stuck_timeout_s
            Idle time after which an open transaction is recorded as stuck.
        """
        self.checks: Final = RuleChecks()
        self.receipts: Final = ReceiptLog(settings.drain_ms)
        self._settings = settings
        self._acknowledged: list[LogEntry] = []
        self.members: Final[list[GroupMember]] = []
        self._processes: list[MemberProcess] = []
        for place in settings.members:
            self._add(place)
        self.members[0].is_primary = True
        self.promotion: Final = Promotion(self.members, self._acknowledged)
        self._replacer = MemberReplacer(
            settings.group, settings.spare_ports, self._add, self._remove
        )
        self._monitor = StuckTransactionMonitor(self.members, stuck_timeout_s)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the ports, and start replication and registration."""
        for process in self._processes:
            await process.start()
        self._tasks = [asyncio.create_task(self._monitor.run())]

    def stop(self) -> None:
        """Cancel all tasks and close all ports."""
        self._replacer.stop()
        for task in self._tasks:
            task.cancel()
        for process in self._processes:
            process.stop()

    def inject_fault(self, call: FaultCall) -> bool:
        """Start a fault; return False if its kind or member is unknown."""
        outcomes = [
            self._inject(process, call)
            for process in self._processes
            if call.member_id in {None, process.member.member_id}
        ]
        return bool(outcomes) and all(outcomes)

    def report(self) -> dict[str, Any]:
        """Return violations, counts, committed writes and member statuses.

        Late receipts are not violations by themselves, as hosts that are cut
        off from the store cannot know of a drain.

        The writes are those of the member with the newest log.
        """
        log = max(
            (member.log for member in self.members),
            key=lambda each: each.received,
        )
        return {
            'violations': [
                attrs.asdict(each) for each in self.checks.report(log.entries)
            ],
            'counts': dict(self.checks.counts),
            'late_receipts': self.receipts.late(),
            'commits': [
                {
                    'request_id': write.request_id,
                    'item': write.item,
                    'data': write.content,
                    'position': position_text((entry.term, entry.number)),
                }
                for entry in log.entries
                for write in entry.writes
            ],
            'members': [
                {
                    'member_id': member.member_id,
                    'status': member.status,
                    'port': member.endpoint.port,
                }
                for member in self.members
            ],
            'promotions': [
                attrs.asdict(record) for record in self.promotion.records
            ],
        }

    def _inject(self, process: MemberProcess, call: FaultCall) -> bool:
        if call.kind != 'replace':
            return process.injector.inject_fault(call)
        self._replacer.replace(process, call)
        return True

    def _add(self, place: MemberEndpoint) -> MemberProcess:
        member = GroupMember(
            place,
            self._settings,
            self.checks,
            self.receipts,
            self._acknowledged,
        )
        process = MemberProcess(member, self.members)
        self.members.append(member)
        self._processes.append(process)
        return process

    def _remove(self, process: MemberProcess) -> None:
        self.members.remove(process.member)
        self._processes.remove(process)
