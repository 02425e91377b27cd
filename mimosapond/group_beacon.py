"""Answer of the peer operation ``beacon``."""

from typing import final

import attrs

from mimosapond.group_view import GroupView


@final
@attrs.frozen
class GroupBeacon:
    """The primary's log position, confirmed after the question arrived.

    Attributes
    ----------
    view
        Term, primary and holder.
    position
        Last log position of the primary.
    """

    view: GroupView
    position: int
