"""Primary and holder of a group, as known to one host."""

from typing import final

import attrs


@final
@attrs.frozen
class GroupView:
    """Primary and holder of a group at one term.

    Of two views of a group, the one with the higher term is valid.

    Attributes
    ----------
    group
        Name of the group.
    term
        Number of the term, above those of all earlier terms.
    primary
        Name of the member that leads the term.
    holder
        Id of the host that holds the term.
    """

    group: str
    term: int
    primary: str
    holder: str
