"""Access modes: whether a request may change data."""

import enum
from typing import final


@final
class AccessMode(enum.StrEnum):
    """Declared by the caller; targets enforce it."""

    READ = 'read'
    WRITE = 'write'
