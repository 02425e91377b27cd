"""Outcome of a request that may have run."""

import dataclasses
from typing import Literal, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The request may or may not have run.

    Attributes
    ----------
    request_id
        Id with which ``POST /v1/outcomes`` settles the outcome later.
    message, remedy
        Text for people: what happened, and what the caller can do.
    """

    request_id: str
    message: str
    remedy: str
    outcome: Literal['unknown'] = 'unknown'
