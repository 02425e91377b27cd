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
        SQL text with ``?`` as the placeholder of each parameter.
    parameters
        One value per placeholder, in the order of the text.
    """

    sql: str
    parameters: tuple[SqlValue, ...] = ()
