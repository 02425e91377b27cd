"""Raised by a link operation that refuses its call."""

from collections.abc import Mapping
from typing import Any, final


@final
class RejectedCallError(Exception):
    """The call had no effect; the caller is told why."""

    def __init__(
        self,
        reason: str,
        message: str,
        **details: Any,
    ) -> None:
        """Keep the fixed word, the message and further fields."""
        super().__init__(message)
        self.body: Mapping[str, Any] = {
            'reason': reason,
            'message': message,
            **details,
        }
