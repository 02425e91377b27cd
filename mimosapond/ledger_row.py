"""A row of the request ledger."""

import enum
from typing import final

import attrs

from mimosapond.statement_result import StatementResult


@final
class RowState(enum.StrEnum):
    """State of a request.

    ``RUNNING`` is never committed: the transaction that inserts it replaces
    it by ``COMPLETED``.
    """

    RUNNING = 'running'
    COMPLETED = 'completed'
    CANCELLED = 'cancelled'


@final
@attrs.frozen
class LedgerRow:
    """State of a request and its stored results."""

    state: RowState
    results: tuple[StatementResult, ...] = ()
