"""Who leads a group, as far as one host knows."""

from typing import final

import attrs


@final
@attrs.frozen
class GroupView:
    """Primary and holder of the newest known term; a higher term wins."""

    group: str
    term: int
    primary: str
    holder: str
