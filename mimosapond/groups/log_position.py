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

    def includes(self, other: 'LogPosition') -> bool:
        """Return whether a log up to here is certain to have another position.

        Only positions of one term can be compared. A log of a newer term has
        the commits of a former term up to where the newer one began, and that
        position is not part of this one.
        """
        return self.term == other.term and self.number >= other.number

    def __str__(self) -> str:
        """Return ``term.number``, the form used in log lines."""
        return f'{self.term}.{self.number}'
