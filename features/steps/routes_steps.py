"""Steps of routes.feature."""

import asyncio
import itertools
from typing import Any, Final, cast

from behave import given, then, when

from mimosapond.attempt_gate import AttemptGate
from mimosapond.entry_services import EntryServices
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.holder_route import HolderRoute, find_holder

_GROUP: Final = 'forge-0'
_DEADLINE_S: Final = 3


class _SteppingClock:
    """Each look takes one second, so that a search ends without real time."""

    def __init__(self) -> None:
        self._seconds = itertools.count()

    def monotonic_s(self) -> float:
        return next(self._seconds)


class _NoHosts:
    def host(self, _host_id: str) -> None:
        """Know no host."""


class _Services:
    """The parts of an entry host that the search uses."""

    def __init__(self) -> None:
        clock: Any = _SteppingClock()
        self.clock = clock
        self.views = GroupViews()
        self.hosts = _NoHosts()
        self.gate = AttemptGate(clock)


async def _search(services: _Services) -> tuple[HolderRoute | None, bool]:
    other_work = asyncio.create_task(asyncio.sleep(0))
    view = GroupView(_GROUP, 2, 'forge-0-1', 'host-9.gone')
    await services.views.merge(view)
    has_run = other_work.done()
    assert not has_run, 'the other work must begin during the search'
    entry = cast(EntryServices, services)
    route = await find_holder(entry, _GROUP, _DEADLINE_S)
    return route, other_work.done()


@given('a routes view of a group whose holder is not known')
def build_services(context: Any) -> None:
    """Build the parts of an entry host."""
    context.services = _Services()


@when('a routes search for the holder runs beside other work')
def search(context: Any) -> None:
    """Search until the deadline."""
    context.found = asyncio.run(_search(context.services))


@then('the routes search finds no holder')
def check_route(context: Any) -> None:
    """Check that the deadline ended it."""
    route, _has_run = context.found
    assert route is None


@then('the other work beside the routes search went on')
def check_other_work(context: Any) -> None:
    """Check that the loop was free in between."""
    _route, has_run = context.found
    assert has_run
