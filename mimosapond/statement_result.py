"""Result of one SQL statement."""

from typing import final

import attrs

from mimosapond.statement import SqlValue


@final
@attrs.frozen
class StatementResult:
    """Rows and number of changed rows of one statement.

    Attributes
    ----------
    columns
        Column names, empty when the statement returns no rows.
    rows
        Values of each row, in the order of ``columns``.
    changed
        Number of rows that the statement changed.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[SqlValue, ...], ...] = ()
    changed: int = 0
