"""Outcome of a request that did not run."""

import dataclasses
from typing import Literal, final

from mimosapond.refusal_reason import RefusalReason


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """This try of the request did not run and will not run.

    Attributes
    ----------
    reason
        Fixed word for programs.
    message, remedy
        What is wrong and what the caller can do, for people.
    retry_after_ms
        When to come again; None when repeating can't help.
    """

    reason: RefusalReason
    message: str
    remedy: str
    retry_after_ms: int | None = None
    outcome: Literal['refused'] = 'refused'
