"""Mark that tells whether a target is leaving and gets no new work."""

from typing import final

import attrs


@final
@attrs.frozen
class LeavingTarget:
    """Leaving mark of one member; the mark with the higher version wins.

    Attributes
    ----------
    name
        Name of the member.
    version
        Increased by each change of the mark.
    is_leaving
        False if an operator withdrew the mark.
    """

    name: str
    version: int = 1
    is_leaving: bool = True

    @property
    def precedence(self) -> tuple[int, bool]:
        """Sort key of marks; of two concurrent changes, leaving wins."""
        return self.version, self.is_leaving
