"""A change that is queued for sending."""

from typing import Any, final

import attrs


@final
@attrs.define
class QueuedChange:
    """Wire form of a change and how often it was sent.

    Attributes
    ----------
    encoded
        Wire form of the change.
    size_bytes
        Length of the wire form in JSON, including the separator.
    sent_count
        Number of messages that contained the change.
    """

    encoded: list[Any]
    size_bytes: int
    sent_count: int = 0
