"""Outcome of a request that ran."""

import dataclasses
from typing import Literal, final

from mimosapond.statement_result import StatementResult


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The request ran and the whole answer is here.

    Attributes
    ----------
    results
        One entry per statement of the request.
    token
        Carries the session's read-your-writes floor to any host.
    member
        Target that answered.
    data_age_ms
        Upper bound of the age of the data read; 0 for writes.
    replayed
        True when an earlier try had run and its stored answer is returned.
    transaction_id
        Set by the start of an interactive transaction.
    """

    results: tuple[StatementResult, ...]
    token: str | None
    member: str
    data_age_ms: int = 0
    replayed: bool = False
    transaction_id: str | None = None
    outcome: Literal['completed'] = 'completed'
