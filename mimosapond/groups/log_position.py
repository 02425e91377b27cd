"""Position in the log of a database group."""

from typing import final

import attrs


@final
@attrs.frozen(order=True)
class LogPosition:
    """A position in the log; ordered by term, then by number.

    Parameters
    ----------
    term
        Increases with each promotion.
    number
        Count of the commits with writes up to this position.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """Return ``term.number``, the form used in log lines."""
        return f'{self.term}.{self.number}'
