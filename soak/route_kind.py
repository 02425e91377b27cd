"""Kinds of routes of the platform's configuration."""

import enum
from typing import final


@final
class RouteKind(enum.Enum):
    """Read consistency of a route, as named by the platform."""

    primary = 'primary'
    bounded_stale = 'bounded_stale'
    own_writes = 'own_writes'
