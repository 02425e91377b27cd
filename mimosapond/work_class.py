"""Priority classes of requests."""

import enum
from typing import final


@final
class WorkClass(enum.StrEnum):
    """Priority of a request; members are declared from highest to lowest."""

    URGENT = 'urgent'
    INTERACTIVE = 'interactive'
    BATCH = 'batch'

    @property
    def rank(self) -> int:
        """Position in the scheduling order; rank 0 is served first."""
        return tuple(WorkClass).index(self)
