"""Properties of pools whose connections belong to workspaces."""

import asyncio
from typing import Final

from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.virtual_loop import run_virtually
from features.workspace_connection_builders import (
    CountingMember,
    build_pool,
    use,
)

_Use = tuple[float, str | None, float, int, bool]
_TICK_S: Final = 0.004
_PROBE_COUNT: Final = 1
_SETTLE_S: Final = 1.0

# Times between arrivals, workspaces, times of use, priorities, and whether it is
# a transaction. None stands for the product, whose requests come before others.
_USES: Final = st.lists(
    st.tuples(
        st.integers(0, 5).map(lambda ticks: ticks * _TICK_S),
        st.sampled_from((None, '', 'alpha', 'beta', 'gamma')),
        st.integers(0, 20).map(lambda ticks: ticks * _TICK_S),
        st.integers(0, 2),
        st.booleans(),
    ),
    min_size=1,
    max_size=40,
)


async def run_uses(
    member: CountingMember, limit_count: int, uses: list[_Use]
) -> list[str | None]:
    """Run borrowers as they arrive, and return what each of them got."""
    pool = build_pool(member, limit_count)
    tasks: list[asyncio.Task[str | None]] = []
    for delay_s, workspace, duration_s, priority, is_kept in uses:
        await asyncio.sleep(delay_s)
        rank = -1 if workspace is None else priority
        tasks.append(
            asyncio.create_task(
                use(
                    pool,
                    workspace,
                    duration_s,
                    rank,
                    is_transaction=is_kept and workspace is not None,
                )
            )
        )
    found = await asyncio.gather(*tasks)
    # Connections that were opened for borrowers served otherwise.
    await asyncio.sleep(_SETTLE_S)
    assert pool.open_count == pool.idle_count
    assert pool.open_count <= limit_count, pool.open_count
    return found


@settings(derandomize=True, deadline=None, max_examples=300)
@for_all(st.integers(1, 4), _USES)
def check_owners(limit_count: int, uses: list[_Use]) -> None:
    """Check that each borrower gets a connection of its workspace."""
    found = run_virtually(run_uses(CountingMember(), limit_count, uses))
    for (_, workspace, *_), owner in zip(uses, found, strict=True):
        assert workspace in {None, owner}, (workspace, owner)


@settings(derandomize=True, deadline=None, max_examples=300)
@for_all(st.integers(1, 4), _USES)
def check_limit(limit_count: int, uses: list[_Use]) -> None:
    """Check the number of connections that the member counts."""
    member = CountingMember()
    run_virtually(run_uses(member, limit_count, uses))
    has_probes = any(workspace is None for _, workspace, *_ in uses)
    allowed_count = limit_count + _PROBE_COUNT * has_probes
    assert member.most_open_count <= allowed_count, member.most_open_count


@settings(derandomize=True, deadline=None, max_examples=300)
@for_all(st.integers(1, 4), _USES)
def check_progress(limit_count: int, uses: list[_Use]) -> None:
    """Check that nobody waits forever, at a member with few places too."""
    member = CountingMember(limit_count)
    found = run_virtually(run_uses(member, limit_count, uses))
    assert None not in found, found
