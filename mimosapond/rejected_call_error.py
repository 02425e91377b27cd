"""Error that an operation of a link raises to refuse a call."""

from collections.abc import Mapping
from typing import Any, final


@final
class RejectedCallError(Exception):
    """A call was refused without any effect; the caller gets the reason."""

    def __init__(
        self,
        reason: str,
        message: str,
        **details: Any,
    ) -> None:
        """Build the body of the rejection.

        Parameters
        ----------
        reason
            Stable identifier for programs.
        message
            Description for people.
        **details
            Further fields of the body.
        """
        super().__init__(message)
        self.body: Mapping[str, Any] = {
            'reason': reason,
            'message': message,
            **details,
        }
