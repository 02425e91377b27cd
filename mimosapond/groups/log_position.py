"""Position in the log of a database group."""

from typing import final

import attrs


@final
@attrs.frozen(order=True)
class LogPosition:
    """A place in the log; ordered by term, then by number.

    Parameters
    ----------
    term
        Increases with each promotion.
    number
        Count of the writing commits up to this place.
    """

    term: int
    number: int

    def __str__(self) -> str:
        """Return the form used in logs."""
        return f'{self.term}.{self.number}'
