"""One SQL statement with its parameters."""

from typing import TypeAlias, final

import attrs

SqlValue: TypeAlias = str | int | float | None


@final
@attrs.frozen
class Statement:
    """SQL text and positional parameters.

    Attributes
    ----------
    sql
        Text with ``?`` for each parameter.
    parameters
        One value per placeholder.
    """

    sql: str
    parameters: tuple[SqlValue, ...] = ()
