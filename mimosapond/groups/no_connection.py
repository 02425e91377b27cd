"""Outcome of an attempt to borrow a connection that failed."""

from typing import final

import attrs


@final
@attrs.frozen
class NoConnection:
    """No connection could be borrowed.

    Parameters
    ----------
    reason
        Cause for log lines.
    is_reachable
        True if the member is reachable and only lacks free connections.
    """

    reason: str
    is_reachable: bool
