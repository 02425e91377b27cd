"""A change that waits to be sent."""

from typing import Any, final

import attrs


@final
@attrs.define
class QueuedChange:
    """Wire form of a change and how often it was sent.

    Attributes
    ----------
    size_bytes
        Length of the wire form in JSON, separator included.
    """

    encoded: list[Any]
    size_bytes: int
    sent_count: int = 0
