"""Back-off from a term holder that did not answer."""

from typing import final

import attrs


@final
@attrs.frozen
class AttemptBackoff:
    """Period during which no attempt is made at the holder of a term.

    Attributes
    ----------
    term
        Term whose holder did not answer.
    until_s
        Monotonic time at which the back-off ends.
    delay_s
        Length of this back-off. The next one at the same term is twice as
        long, up to a limit.
    """

    term: int
    until_s: float
    delay_s: float
