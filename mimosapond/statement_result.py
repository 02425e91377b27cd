"""What one SQL statement returned."""

from typing import final

import attrs

from mimosapond.statement import SqlValue


@final
@attrs.frozen
class StatementResult:
    """Rows and change count of one statement.

    Attributes
    ----------
    columns
        Column names, empty when the statement returns no rows.
    rows
        Shape: rows x columns.
    changed
        Number of rows the statement changed.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[SqlValue, ...], ...] = ()
    changed: int = 0
