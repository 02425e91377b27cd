"""Promise for the statements of one database."""

import enum
from typing import final

import attrs


@final
class Freshness(enum.Enum):
    """How recent the data of a read must be."""

    latest = 'latest'
    bounded = 'bounded'
    own_writes = 'own_writes'


@final
@attrs.frozen
class Route:
    """Where the statements of a database go, and what is promised.

    Parameters
    ----------
    priority
        0 is the most urgent.
    """

    database: str
    group: str
    freshness: Freshness
    max_age_ms: float
    statement_timeout_ms: float
    priority: int
