"""A call within an interactive transaction."""

from typing import final

import attrs

from mimosapond.statement import Statement


@final
@attrs.frozen
class TransactionCall:
    """Body of a ``statements``, ``commit`` or ``rollback`` request.

    Attributes
    ----------
    request_id
        Request id of the transaction's begin. It settles a commit whose
        answer was lost.
    deadline_ms
        Time that is left for this call.
    statements
        Statements to run in order; empty for commit and rollback.
    """

    request_id: str
    deadline_ms: int = 5000
    statements: tuple[Statement, ...] = ()
