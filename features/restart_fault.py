"""Restarts that the explorers of changes of primary play beside other events."""

import enum
from collections.abc import Collection
from typing import Final, TypeAlias, final


@final
@enum.unique
class RestartFault(enum.Enum):
    """A process that starts again and forgets something."""

    # A host, which forgets since when it knows each member.
    host = 'host'
    # A replica that keeps its log; its pause ends.
    replica = 'replica'
    # A replica under its id that holds and knows nothing of before.
    empty_replica = 'empty replica'


RestartFaults: TypeAlias = Collection[RestartFault]

NO_RESTARTS: Final[RestartFaults] = frozenset()


def parse_restarts(names: str) -> RestartFaults:
    """Return the restarts that a step names, separated by commas."""
    return frozenset(RestartFault(name) for name in names.split(', '))
