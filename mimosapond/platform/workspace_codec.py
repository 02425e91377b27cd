"""Decodes the workspaces of the operators' configuration.

The texts of errors name the place of a problem and never its content, because
the content may be a key.
"""

from collections.abc import Mapping
from typing import Any, Final, TypeGuard

from mimosapond.configuration.key_digest import digest_key
from mimosapond.configuration.workspace import Workspace

# A name or key is one field of a START line.
_MAX_WORD_CHARS: Final = 1000
_MAX_WORKSPACE_COUNT: Final = 100_000
_MAX_KEY_COUNT: Final = 1000
_MAX_PRIORITY: Final = 1_000_000
# Beyond any load; keeps sums of quotas exact.
_MAX_OPERATION_COUNT: Final = 1_000_000_000


def decode_workspaces(content: object) -> dict[str, Workspace]:
    """Return the workspaces by name.

    Raises
    ------
    ValueError
        The content is not a list of workspaces, a number is out of its bounds,
        or two workspaces have the same name or key.
    """
    if not isinstance(content, list) or len(content) > _MAX_WORKSPACE_COUNT:
        raise ValueError('tenants is not a list of workspaces within bounds')
    workspaces: dict[str, Workspace] = {}
    key_digests: set[str] = set()
    for index, entry in enumerate(content):
        place = f'tenants[{index}]'
        workspace = _decode_workspace(entry, place)
        if workspace.name in workspaces:
            raise ValueError(f'{place}.name occurs twice')
        if not key_digests.isdisjoint(workspace.key_digests):
            raise ValueError(f'{place}.api_keys has a key of another workspace')
        workspaces[workspace.name] = workspace
        key_digests |= workspace.key_digests
    return workspaces


def _decode_workspace(entry: object, place: str) -> Workspace:
    if not isinstance(entry, dict):
        raise ValueError(f'{place} is not an object')
    name = entry.get('name')
    if not _is_word(name):
        raise ValueError(f'{place}.name is not a word within bounds')
    priority = _decode_number(entry, 'priority', place, _MAX_PRIORITY)
    if priority != int(priority):
        raise ValueError(f'{place}.priority is not an integer')
    return Workspace(
        name=name,
        key_digests=_decode_keys(entry.get('api_keys'), place),
        priority=int(priority),
        rate_per_s=_decode_number(
            entry, 'rate_per_s', place, _MAX_OPERATION_COUNT
        ),
        burst_count=_decode_number(entry, 'burst', place, _MAX_OPERATION_COUNT),
    )


def _decode_keys(content: object, place: str) -> frozenset[str]:
    if not isinstance(content, list) or len(content) > _MAX_KEY_COUNT:
        raise ValueError(f'{place}.api_keys is not a list within bounds')
    if not all(_is_word(key) for key in content):
        raise ValueError(f'{place}.api_keys has an entry that is not a word')
    return frozenset(digest_key(key) for key in content)


def _decode_number(
    entry: Mapping[str, Any], field: str, place: str, maximum: float
) -> float:
    number = entry.get(field)
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    if number is None or not is_number or not 0 <= number <= maximum:
        raise ValueError(f'{place}.{field} is not a number within bounds')
    return float(number)


def _is_word(content: object) -> TypeGuard[str]:
    return (
        isinstance(content, str)
        and 0 < len(content) <= _MAX_WORD_CHARS
        and content.isprintable()
        and ' ' not in content
    )
