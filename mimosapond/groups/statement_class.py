"""Class of a statement, for estimates of how long a member takes for it."""

from typing import final

import attrs


@final
@attrs.frozen
class StatementClass:
    """Statements that are expected to take about the same time.

    Parameters
    ----------
    priority
        Priority of the route; 0 is the most urgent. Routes of one priority
        tend to have the same kind of work.
    is_write
        Whether the statement writes.
    """

    priority: int
    is_write: bool = False
