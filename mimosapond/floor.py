"""Log entry that the data of a read must include."""

from typing import final

import attrs


@final
@attrs.frozen
class Floor:
    """Term and log position of the newest write a session may have seen."""

    term: int
    position: int
