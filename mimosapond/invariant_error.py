"""Raised when a rule that must always hold is found broken."""

import enum
from typing import Any, final


@final
class Invariant(enum.StrEnum):
    """Rules that the program asserts while it runs."""

    POSITION_KNOWN = 'acknowledged_position_at_most_primary_position'
    FLOOR_RISES = 'session_floor_never_falls'
    NEWEST_PROMOTED = 'promoted_log_is_newest_of_majority'
    TERM_RISES = 'acquired_term_above_known_terms'


@final
class InvariantError(Exception):
    """A fault of the program or of a target, never of a caller."""

    def __init__(self, invariant: Invariant, **figures: Any) -> None:
        """Keep the rule and the figures that break it."""
        super().__init__(f'invariant {invariant} broken: {figures}')
        self.invariant = invariant
        self.figures = figures
