"""Answer of the peer operation ``beacon``."""

from typing import final

import attrs

from mimosapond.group_view import GroupView


@final
@attrs.frozen
class GroupBeacon:
    """Log position of the primary, confirmed by a round of known age.

    In a round, the holder asks the members whether its term is still in force.

    Attributes
    ----------
    view
        Term, primary and holder.
    position
        Last log position of the primary.
    age_ms
        Upper bound of the time from the start of the round that confirmed the
        position to this answer, measured with the holder's clock.
    """

    view: GroupView
    position: int
    age_ms: int = 0
