"""Steps of beacon_refresh.feature."""

import asyncio
import functools
from typing import Any, Final

from behave import given, then, when

from features.builders import build_beacon
from mimosapond.age_trackers import AgeTrackers
from mimosapond.beacon_refresher import BeaconRefresher

_GROUP: Final = 'forge-a'
_NOW_S: Final = 1000
_MS_PER_S: Final = 1000
_TIMEOUT_S: Final = 0.01


class FixedClock:
    """Clock that always returns the same time."""

    def monotonic_s(self) -> float:
        """Return the fixed time in seconds."""
        return _NOW_S

    def unix_ms(self) -> int:
        """Return the fixed time in milliseconds."""
        return _NOW_S * _MS_PER_S

    async def sleep(self, delay_s: float) -> None:
        """Return without waiting."""


def _build(context: Any, *, is_unresponsive: bool) -> None:
    context.pull_count = 0
    context.ages = AgeTrackers(FixedClock())

    pull = functools.partial(_pull, context, is_unresponsive=is_unresponsive)
    context.refresher = BeaconRefresher(context.ages, pull)


async def _pull(context: Any, _group: str, *, is_unresponsive: bool) -> None:
    context.pull_count += 1
    if is_unresponsive:
        await asyncio.Event().wait()
    await asyncio.sleep(0)


@given('a beacon refresher whose newest sample is {age} ms old')
def build_refresher(context: Any, age: str) -> None:
    """Add one sample, or none if the age is ``none``."""
    _build(context, is_unresponsive=False)
    if age != 'none':
        requested_s = _NOW_S - int(age) / _MS_PER_S
        context.ages.tracker(_GROUP).note(requested_s, build_beacon(_GROUP))


@given('a beacon refresher whose holder does not respond')
def build_unresponsive(context: Any) -> None:
    """Build a refresher whose pulls never end."""
    _build(context, is_unresponsive=True)


@when('{reads:d} beacon reads with a bound of {bound:d} ms arrive together')
def refresh(context: Any, reads: int, bound: int) -> None:
    """Refresh for all reads concurrently."""
    asyncio.run(_refresh_all(context.refresher, reads, bound))


async def _refresh_all(
    refresher: BeaconRefresher,
    reads: int,
    bound_ms: int,
) -> None:
    await asyncio.gather(
        *(
            refresher.refresh(_GROUP, bound_ms, _TIMEOUT_S)
            for _ in range(reads)
        ),
    )


@then('{pulls:d} beacons were pulled')
def check_pulls(context: Any, pulls: int) -> None:
    """Check the number of pulls."""
    assert context.pull_count == pulls, context.pull_count


@then('the beacon reads continued without a fresh sample')
def check_no_sample(context: Any) -> None:
    """Check that there is no sample."""
    assert context.ages.tracker(_GROUP).newest_age_ms() is None
