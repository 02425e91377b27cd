"""Work classes: what the scheduler orders first."""

import enum
from typing import final


@final
class WorkClass(enum.StrEnum):
    """Priority of a request; the declaration order is the rank."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'

    @property
    def rank(self) -> int:
        """Position in the scheduling order, 0 is served first."""
        return tuple(WorkClass).index(self)
