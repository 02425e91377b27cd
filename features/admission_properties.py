"""Property test of admission with Hypothesis, and builders of admissions."""

import asyncio
from typing import Final, final

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from features.virtual_loop import run_virtually
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.admission_permit import Permit
from mimosapond.groups.admission_request import AdmissionRequest
from mimosapond.groups.concurrency_limit import ConcurrencyLimit, Response
from mimosapond.groups.member_admission import Admission, MemberAdmission
from mimosapond.groups.member_answer import LinkLost
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.statement_class import StatementClass

_MAX_COUNT: Final = 4
_MS_PER_S: Final = 1000
# Longer than any test.
_LONG_S: Final = 1000.0


@final
@attrs.frozen
class StatementPlan:
    """A statement of the test; its caller is cancelled after ``cancel_ms``."""

    arrival_ms: int
    priority: int
    workspace: str
    is_in_transaction: bool
    left_ms: int
    service_ms: int
    cancel_ms: int


_PLANS: Final = st.lists(
    st.builds(
        StatementPlan,
        st.integers(0, 100),
        st.integers(0, 2),
        st.sampled_from('abc'),
        st.booleans(),
        st.integers(1, 200),
        st.integers(1, 60),
        st.integers(1, 200),
    ),
    max_size=40,
)


def open_admission() -> MemberAdmission:
    """Build the admission to a member, on the clock of the running loop."""
    now = asyncio.get_running_loop().time
    limit = ConcurrencyLimit(now())
    limit.max_count = _MAX_COUNT
    return MemberAdmission('m', limit, MemberLoad(now), now)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(_PLANS)
def check_nothing_left(plans: list[StatementPlan]) -> None:
    """Check that no permit and no entry is left after all callers ended."""
    run_virtually(_run_plans(plans))


async def _run_plans(plans: list[StatementPlan]) -> None:
    admission = open_admission()
    tasks = [asyncio.create_task(_run_plan(admission, plan)) for plan in plans]
    await asyncio.gather(*tasks)
    assert admission.in_flight_count == 0, admission.in_flight_count
    assert admission.waiting_count == 0, admission.waiting_count
    assert admission.admits_now


async def _run_plan(admission: MemberAdmission, plan: StatementPlan) -> None:
    await asyncio.sleep(plan.arrival_ms / _MS_PER_S)
    now_s = asyncio.get_running_loop().time()
    request = AdmissionRequest(
        StatementClass(plan.priority),
        plan.workspace,
        now_s + plan.left_ms / _MS_PER_S,
        plan.is_in_transaction,
    )
    try:
        async with asyncio.timeout(plan.cancel_ms / _MS_PER_S):
            await _use(admission, request, plan.service_ms / _MS_PER_S)
    except TimeoutError:
        return


async def _use(
    admission: MemberAdmission, request: AdmissionRequest, service_s: float
) -> None:
    permit = await admission.admit(request)
    if not isinstance(permit, Permit):
        return
    try:
        permit.start()
        await asyncio.sleep(service_s)
        permit.record(LinkLost('lost'))
    finally:
        permit.release()


async def take_all_permits(admission: MemberAdmission) -> list[Permit]:
    """Take permits for statements in flight until none is left."""
    permits = []
    deadline_s = boot_time_s() + _LONG_S
    request = AdmissionRequest(StatementClass(0), '', deadline_s)
    while admission.admits_now:
        permit = await admission.admit(request)
        assert isinstance(permit, Permit)
        permit.start()
        permits.append(permit)
    return permits


async def fill_queue(
    admission: MemberAdmission, count: int, latency_s: float
) -> list[asyncio.Task[Admission]]:
    """Let statements of a known latency wait; returns the waiting tasks."""
    statement_class = StatementClass(0)
    admission.limit.record(
        Response.succeeded, statement_class, latency_s, 0, boot_time_s()
    )
    request = AdmissionRequest(statement_class, '', boot_time_s() + _LONG_S)
    tasks = [
        asyncio.create_task(admission.admit(request)) for _ in range(count)
    ]
    await asyncio.sleep(0)
    return tasks
