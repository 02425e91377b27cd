"""Durability levels of an acknowledged write."""

import enum
from typing import final


@final
class Durability(enum.StrEnum):
    """What must be confirmed before a write is acknowledged.

    ``PRIMARY``: the write's term is still the newest term of a majority.
    ``REPLICATED``: a majority of members holds the write's log position.
    """

    PRIMARY = 'primary'
    REPLICATED = 'replicated'
