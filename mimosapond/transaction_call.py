"""A call within an interactive transaction."""

from typing import final

import attrs

from mimosapond.statement import Statement


@final
@attrs.frozen
class TransactionCall:
    """Body of ``statements``, ``commit`` and ``rollback``.

    Attributes
    ----------
    request_id
        The id that the transaction was begun with; settles a commit whose
        answer was lost.
    deadline_ms
        Time left for this call.
    statements
        Run in order; empty for commit and rollback.
    """

    request_id: str
    deadline_ms: int = 5000
    statements: tuple[Statement, ...] = ()
