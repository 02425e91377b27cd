"""Finds the holder of a group's newest term."""

from typing import Final, final

import attrs

from mimosapond.entry_services import EntryServices
from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord

_WAIT_STEP_S: Final = 0.05


@final
@attrs.frozen
class HolderRoute:
    """The newest view of a group and the record of the view's holder."""

    view: GroupView
    host: HostRecord


async def find_holder(
    services: EntryServices,
    group: str,
    deadline_s: float,
) -> HolderRoute | None:
    """Wait for a holder that is known and not in back-off.

    Parameters
    ----------
    services
        Shared parts of the entry host.
    group
        Name of the group.
    deadline_s
        Monotonic time after which waiting ends.

    Returns
    -------
    HolderRoute or None
        None when there was no such holder before the deadline.
    """
    while services.clock.monotonic_s() < deadline_s:
        route = _current(services, group)
        if route is not None and not services.gate.is_held(
            group,
            route.view.term,
        ):
            return route
        # A view whose holder is unknown counts as seen too: waiting for a
        # view that is already known would return at once, and this loop would
        # keep the event loop busy.
        view = services.views.get(group)
        term = 0 if view is None else view.term
        await _wait(services, group, term, deadline_s)
    return None


def _current(services: EntryServices, group: str) -> HolderRoute | None:
    view = services.views.get(group)
    if view is None:
        return None
    host = services.hosts.host(view.holder)
    return None if host is None else HolderRoute(view, host)


async def _wait(
    services: EntryServices,
    group: str,
    term: int,
    deadline_s: float,
) -> None:
    remaining_s = max(0, deadline_s - services.clock.monotonic_s())
    await services.views.wait_newer(group, term, min(_WAIT_STEP_S, remaining_s))
