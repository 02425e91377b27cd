"""Access modes: whether a request may change data."""

import enum
from typing import final


@final
class AccessMode(enum.StrEnum):
    """Access that the caller declares and the target enforces."""

    READ = 'read'
    WRITE = 'write'
