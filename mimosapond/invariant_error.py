"""Error raised when an invariant is violated."""

import enum
from typing import Any, final


@final
class Invariant(enum.StrEnum):
    """Invariants that the program checks while it runs."""

    POSITION_KNOWN = 'acknowledged_position_at_most_primary_position'
    FLOOR_RISES = 'session_floor_never_falls'
    NEWEST_PROMOTED = 'promoted_log_is_newest_of_majority'
    TERM_RISES = 'acquired_term_above_known_terms'


@final
class InvariantError(Exception):
    """A bug in the program or in a target; no caller can cause it."""

    def __init__(self, invariant: Invariant, **details: Any) -> None:
        """Store the invariant and the values that violate it."""
        super().__init__(f'invariant {invariant} violated: {details}')
        self.invariant = invariant
        self.details = details
