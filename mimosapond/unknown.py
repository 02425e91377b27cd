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
        Settles the outcome later through ``POST /v1/outcomes``.
    message, remedy
        What happened and what the caller can do, for people.
    """

    request_id: str
    message: str
    remedy: str
    outcome: Literal['unknown'] = 'unknown'
