"""Answer of the peer operation ``beacon``."""

from typing import final

import attrs

from mimosapond.group_view import GroupView


@final
@attrs.frozen
class GroupBeacon:
    """The primary's log position, confirmed by a round of known age.

    Attributes
    ----------
    view
        Term, primary and holder.
    position
        Last log position of the primary.
    age_ms
        Upper bound of the time between the start of the round that confirmed
        the position and this answer, on the holder's clock.
    """

    view: GroupView
    position: int
    age_ms: int = 0
