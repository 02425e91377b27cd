"""Faults of the platform's services that its pages name."""

import enum
from typing import final


@final
class StoreFault(enum.Enum):
    """How a service misbehaves."""

    none = 'none'
    # Nothing is done.
    refuses = 'refuses'
    silent = 'silent'
    # The call is performed, and its answer is lost.
    loses_answers = 'loses_answers'
    # The call is performed after its caller has given up.
    applies_late = 'applies_late'
    # The call is performed and answered late.
    slow = 'slow'
