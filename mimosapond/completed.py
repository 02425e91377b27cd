"""Outcome of a request that ran."""

import dataclasses
from typing import Literal, final

from mimosapond.statement_result import StatementResult


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """The request ran, and its complete answer is known.

    Attributes
    ----------
    results
        One entry per statement of the request.
    token
        Session token, which lets reads at any host include this write.
    member
        Name of the target that answered.
    data_age_ms
        Upper bound of the age of the data that was read; 0 for writes.
    replayed
        True when an earlier attempt ran and its stored answer is returned.
    transaction_id
        Id of the interactive transaction that the request began.
    """

    results: tuple[StatementResult, ...]
    token: str | None
    member: str
    data_age_ms: int = 0
    replayed: bool = False
    transaction_id: str | None = None
    outcome: Literal['completed'] = 'completed'
