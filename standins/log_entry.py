"""One entry of a member's replicated log."""

from typing import final

import attrs

from mimosapond.statement import Statement


@final
@attrs.frozen
class LogEntry:
    """Statements of one transaction; empty in the first entry of a term.

    The position of an entry is its index in the log plus 1.
    """

    term: int
    statements: tuple[Statement, ...] = ()
