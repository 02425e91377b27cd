"""Outcome of a request that did not run."""

import dataclasses
from typing import Literal, final

from mimosapond.refusal_reason import RefusalReason


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """This attempt of the request did not run and will not run.

    Attributes
    ----------
    reason
        Stable identifier for programs.
    message, remedy
        Text for people: what is wrong, and what the caller can do.
    retry_after_ms
        Time after which to retry; None when a retry can't help.
    """

    reason: RefusalReason
    message: str
    remedy: str
    retry_after_ms: int | None = None
    outcome: Literal['refused'] = 'refused'
