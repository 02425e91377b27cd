"""Faults that the documentation of the platform's services describes."""

import enum
from typing import final


@final
class StoreFault(enum.Enum):
    """How a service misbehaves."""

    none = 'none'
    # The call is not performed.
    refuses = 'refuses'
    silent = 'silent'
    # The call is performed, but its answer is lost.
    loses_answers = 'loses_answers'
    # The call is performed after the caller has timed out, without an answer.
    applies_late = 'applies_late'
    # The call is performed and answered after a delay.
    slow = 'slow'
