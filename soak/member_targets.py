"""Members that a fault affects, found when it starts.

Members are replaced by others, and their roles change.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any, final

import attrs

from soak.fault import MemberChoice
from soak.http_json import get_json
from soak.layout import LOOPBACK, GroupLayout, Layout


@final
@attrs.frozen
class MemberTarget:
    """A member, and the control address of its group."""

    member_id: str
    port: int
    control_url: str


async def find_targets(
    layout: Layout, members: Iterable[tuple[int, int]]
) -> list[MemberTarget]:
    """Return the members of a fault; see ``Fault.members``."""
    return [
        await _find(layout.groups[group], choice) for group, choice in members
    ]


async def _find(group: GroupLayout, choice: int) -> MemberTarget:
    control_url = f'http://{LOOPBACK}:{group.control_port}'
    members = (await get_json(f'{control_url}/report'))['members']
    chosen = _choose(members, choice)
    return MemberTarget(chosen['member_id'], chosen['port'], control_url)


def _choose(members: Sequence[Mapping[str, Any]], choice: int) -> Any:
    """Return a member of a report.

    While no member leads, the first one is taken for the primary.
    """
    primary = next((each for each in members if _leads(each)), members[0])
    replicas = [each for each in members if each is not primary]
    match choice:
        case MemberChoice.primary:
            return primary
        case MemberChoice.first_replica:
            return replicas[0]
        case MemberChoice.second_replica:
            return replicas[1]
        case MemberChoice.newest_replica:
            return replicas[-1]
    return members[choice]


def _leads(member: Mapping[str, Any]) -> bool:
    return str(member['status']).startswith('primary')
