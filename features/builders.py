"""Builders of standings and beacons for tests."""

import asyncio
from collections.abc import Awaitable
from typing import Any

from mimosapond.group_beacon import GroupBeacon
from mimosapond.group_view import GroupView
from mimosapond.standing import PRIMARY_ROLE, Standing


def build_standing(
    history: tuple[tuple[int, int], ...] = ((1, 1),),
    position: int = 1,
    role: str = PRIMARY_ROLE,
    member: str = 'forge-a-1',
) -> Standing:
    """Build a standing whose log matches up to its last position.

    Parameters
    ----------
    history
        Pairs of a term and the first position of that term.
    """
    return Standing(
        member=member,
        group='forge-a',
        role=role,
        term=history[-1][0],
        granted_to=None,
        position=position,
        last_term=history[-1][0],
        matched_position=position,
        history=history,
    )


def build_beacon(group: str, term: int = 1, position: int = 1) -> GroupBeacon:
    """Build the beacon that the holder of a group sends."""
    view = GroupView(group, term, f'{group}-1', 'host-1')
    return GroupBeacon(view, position)


async def gather_all(*calls: Awaitable[Any]) -> list[Any]:
    """Await calls concurrently and return their results in order."""
    return list(await asyncio.gather(*calls))
