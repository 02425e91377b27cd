"""Durability levels of an acknowledged write."""

import enum
from typing import final


@final
class Durability(enum.StrEnum):
    """What must be known before a write is acknowledged.

    ``PRIMARY``: a majority of members still stands at the write's term.
    ``REPLICATED``: a majority of members holds the write's log position.
    """

    PRIMARY = 'primary'
    REPLICATED = 'replicated'
