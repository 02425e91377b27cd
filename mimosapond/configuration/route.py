"""Target group and guarantees for the statements of one database."""

import enum
from typing import final

import attrs


@final
class Freshness(enum.Enum):
    """How up to date the data of a read must be."""

    latest = 'latest'
    bounded = 'bounded'
    own_writes = 'own_writes'


@final
@attrs.frozen
class Route:
    """Which group runs the statements of a database, with which guarantees.

    Parameters
    ----------
    max_age_ms
        Largest allowed age of the data of a read; not used if ``freshness``
        is ``latest``.
    statement_timeout_ms
        From the arrival of a statement to its deadline.
    priority
        0 is the most urgent.
    is_anonymous
        Whether callers need no key, in a deployment with workspaces.
    """

    database: str
    group: str
    freshness: Freshness
    max_age_ms: float
    statement_timeout_ms: float
    priority: int
    is_anonymous: bool = False
