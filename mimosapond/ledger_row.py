"""A row of the request ledger."""

import enum
from typing import final

import attrs

from mimosapond.statement_result import StatementResult


@final
class RowState(enum.StrEnum):
    """``RUNNING`` is never committed; a transaction replaces it."""

    RUNNING = 'running'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'


@final
@attrs.frozen
class LedgerRow:
    """State of a request id and the stored answer."""

    state: RowState
    results: tuple[StatementResult, ...] = ()
