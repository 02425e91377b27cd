"""Kinds of routes."""

import enum
from typing import final


@final
class RouteKind(enum.Enum):
    """What reads of a route must see, in the platform's words."""

    primary = 'primary'
    bounded_stale = 'bounded_stale'
    own_writes = 'own_writes'
