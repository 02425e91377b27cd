"""Builders of members, tickets, schedulers and owners for tests."""

from typing import Any

import attrs

from features.scheduling_fakes import FakeClock, FakeTarget, RecordingDecisions
from mimosapond.member_address import MemberAddress
from mimosapond.member_owner import MemberOwner
from mimosapond.member_scheduler import MemberScheduler
from mimosapond.metrics import NullMetrics
from mimosapond.options import Options
from mimosapond.work_class import WorkClass
from mimosapond.work_decisions import WorkDecisions
from mimosapond.work_ticket import WorkTicket

OPTIONS = Options('host', 'dc-1', '', '', '', '')


def build_member(
    slot_count: int = 2, connection_limit_count: int = 16
) -> MemberAddress:
    """Build a member with a number of slots and a connection limit."""
    return MemberAddress(
        'forge-a-1', 'dc-1', '127.0.0.1:1', slot_count, connection_limit_count
    )


def build_ticket(name: str = 'r', **changes: Any) -> WorkTicket:
    """Build a ticket for interactive work; ``changes`` replaces its fields."""
    ticket = WorkTicket(
        request_id=name,
        work_class=WorkClass.INTERACTIVE,
        workspace='w',
        deadline_s=1060,
        fingerprint='f',
        connection_limit_count=100,
        is_long=False,
        group='forge-a',
        term=3,
    )
    return attrs.evolve(ticket, **changes)


def build_scheduler(
    decisions: RecordingDecisions,
    slot_count: int = 2,
    connection_limit_count: int = 100,
    **options: Any,
) -> MemberScheduler:
    """Build a scheduler that records its decisions in ``decisions``."""
    return MemberScheduler(
        build_member(slot_count, connection_limit_count),
        attrs.evolve(OPTIONS, **options),
        WorkDecisions('forge-a-1', decisions, NullMetrics()),
    )


def build_owner(
    target: FakeTarget,
    clock: FakeClock,
    decisions: RecordingDecisions,
    slot_count: int = 1,
    connection_limit_count: int = 16,
) -> MemberOwner:
    """Build the owner of one member with default options."""
    return MemberOwner(
        build_member(slot_count, connection_limit_count),
        target,  # type: ignore[arg-type]
        OPTIONS,
        clock,
        decisions,
        NullMetrics(),
    )
