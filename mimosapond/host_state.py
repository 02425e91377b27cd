"""Life states of a host."""

import enum
from typing import final


@final
class HostState(enum.StrEnum):
    """How a host is seen by its peers."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
