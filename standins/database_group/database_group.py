"""Composition of the parts of one database group."""

import asyncio
from typing import Any, Final, final

import attrs

from standins.database_group.fault_call import FaultCall
from standins.database_group.fault_injector import FaultInjector
from standins.database_group.group_member import GroupMember
from standins.database_group.group_settings import GroupSettings
from standins.database_group.member_listener import MemberListener
from standins.database_group.member_log import position_text
from standins.database_group.promotion import Promotion
from standins.database_group.registrar import Registrar
from standins.database_group.receipt_log import ReceiptLog
from standins.database_group.replication import Replication
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
        members = tuple(
            GroupMember(place, settings, self.checks, self.receipts)
            for place in settings.members
        )
        members[0].is_primary = True
        self.members: Final = members
        self.promotion: Final = Promotion(members)
        self._listeners = [MemberListener(member) for member in members]
        registrars = [Registrar(member) for member in members]
        self._injectors = [
            FaultInjector(*arguments)
            for arguments in zip(
                members, self._listeners, registrars, strict=True
            )
        ]
        self._background_jobs: list[
            StuckTransactionMonitor | Replication | Registrar
        ] = [
            StuckTransactionMonitor(members, stuck_timeout_s),
            *(Replication(member, members) for member in members),
            *registrars,
        ]
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the ports, and start replication and registration."""
        for listener in self._listeners:
            await listener.start()
        self._tasks = [
            asyncio.create_task(job.run()) for job in self._background_jobs
        ]

    def stop(self) -> None:
        """Cancel all tasks and close all ports."""
        for task in self._tasks:
            task.cancel()
        for listener in self._listeners:
            listener.stop()

    def inject_fault(self, call: FaultCall) -> bool:
        """Start a fault; return False if its kind or member is unknown."""
        outcomes = [
            injector.inject_fault(call)
            for injector in self._injectors
            if call.member_id in {None, injector.member_id}
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
                {'member_id': member.member_id, 'status': member.status}
                for member in self.members
            ],
        }
