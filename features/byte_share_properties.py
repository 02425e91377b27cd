"""Property tests of the shares of memory, without a network."""

import asyncio
from typing import Final

from hypothesis import given, settings
from hypothesis import strategies as st

from mimosapond.entry.byte_budget import ByteBudget
from mimosapond.entry.byte_shares import ByteShares
from mimosapond.entry.memory_lanes import MemoryAccount, MemoryLanes

_CAPACITY_BYTES: Final = 100
_LONG_WAIT_S: Final = 60.0
# Expires as soon as other tasks have run.
_NO_WAIT_S: Final = 0
_SIZES = st.lists(
    st.tuples(st.integers(1, 150), st.booleans()), min_size=1, max_size=12
)
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(('part', 'exact', 'wide', 'settle', 'charge')),
        st.integers(1, 1024 * 1024),
    ),
    max_size=8,
)


@settings(deadline=None, max_examples=100)
@given(sizes=_SIZES)
def check_budget(sizes: list[tuple[int, bool]]) -> None:
    """Hold shares in concurrent tasks; some are cancelled while they wait."""
    asyncio.run(_hold_all(sizes))


@settings(deadline=None, max_examples=100)
@given(steps=_STEPS)
def check_account(steps: list[tuple[str, int]]) -> None:
    """Use an account in any order, also after refusals."""
    asyncio.run(_use_account(steps))


async def _hold_all(sizes: list[tuple[int, bool]]) -> None:
    budget = ByteBudget(_CAPACITY_BYTES)
    shares = ByteShares(budget, _LONG_WAIT_S)
    tasks = [
        asyncio.create_task(_hold(shares, size_bytes))
        for size_bytes, _ in sizes
    ]
    await asyncio.sleep(0)
    for task, (_, is_cancelled) in zip(tasks, sizes, strict=True):
        if is_cancelled:
            task.cancel()
    outcomes = await asyncio.gather(*tasks, return_exceptions=True)
    for outcome in outcomes:
        assert outcome is None or isinstance(outcome, asyncio.CancelledError)
    assert not shares.is_contended
    assert budget.held_bytes == 0, budget.held_bytes


async def _hold(shares: ByteShares, size_bytes: int) -> None:
    assert await shares.acquire(size_bytes)
    try:
        # A share above the capacity is held alone.
        limit_bytes = max(_CAPACITY_BYTES, size_bytes)
        assert shares.held_bytes <= limit_bytes, shares.held_bytes
        await asyncio.sleep(0)
    finally:
        shares.release(size_bytes)


async def _use_account(steps: list[tuple[str, int]]) -> None:
    medium, large, wide = (
        ByteShares(ByteBudget(_CAPACITY_BYTES), _NO_WAIT_S) for _ in range(3)
    )
    lanes = MemoryLanes(medium, large, wide)
    account = MemoryAccount(lanes)
    for step, size_bytes in steps:
        await _take_step(account, step, size_bytes)
        assert lanes.held_bytes >= 0, lanes.held_bytes
    account.release()
    assert lanes.held_bytes == 0, lanes.held_bytes


async def _take_step(account: MemoryAccount, step: str, size: int) -> None:
    match step:
        case 'part':
            await account.reserve(size)
        case 'exact':
            await account.reserve_exactly(size)
        case 'wide':
            await account.reserve_wide(size)
        case 'settle':
            account.settle(size)
        case _:
            account.charge(size)
