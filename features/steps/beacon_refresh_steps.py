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


class StoppedClock:
    """Always the same time."""

    def monotonic_s(self) -> float:
        """Return the fixed time."""
        return _NOW_S

    def unix_ms(self) -> int:
        """Return the fixed time."""
        return _NOW_S * _MS_PER_S

    async def sleep(self, delay_s: float) -> None:
        """Return at once."""


def _build(context: Any, *, is_silent: bool) -> None:
    context.pull_count = 0
    context.ages = AgeTrackers(StoppedClock())

    pull = functools.partial(_pull, context, is_silent=is_silent)
    context.refresher = BeaconRefresher(context.ages, pull)


async def _pull(context: Any, _group: str, *, is_silent: bool) -> None:
    context.pull_count += 1
    if is_silent:
        await asyncio.Event().wait()
    await asyncio.sleep(0)


@given('a beacon refresher whose newest pair is {age} ms old')
def build_refresher(context: Any, age: str) -> None:
    """Note one pair, or none."""
    _build(context, is_silent=False)
    if age != 'none':
        asked_s = _NOW_S - int(age) / _MS_PER_S
        context.ages.tracker(_GROUP).note(asked_s, build_beacon(_GROUP))


@given('a beacon refresher whose holder is silent')
def build_silent(context: Any) -> None:
    """Pulls never end."""
    _build(context, is_silent=True)


@when('{reads:d} beacon reads with a bound of {bound:d} ms arrive together')
def refresh(context: Any, reads: int, bound: int) -> None:
    """Refresh for all reads at the same time."""
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
    """Count the pulls."""
    assert context.pull_count == pulls, context.pull_count


@then('the beacon reads went on without a fresh pair')
def check_no_pair(context: Any) -> None:
    """Check that no pair was noted."""
    assert context.ages.tracker(_GROUP).newest_age_ms() is None
