"""Whether a target gets new work."""

from typing import final

import attrs


@final
@attrs.frozen
class LeavingTarget:
    """Mark of one member; of two marks the higher version holds.

    Attributes
    ----------
    name
        Name of the member.
    version
        Raised by each change.
    is_leaving
        False when an operator took the mark back.
    """

    name: str
    version: int = 1
    is_leaving: bool = True

    @property
    def precedence(self) -> tuple[int, bool]:
        """Order of marks; of two concurrent changes, leaving holds."""
        return self.version, self.is_leaving
