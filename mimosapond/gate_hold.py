"""One hold of attempts at a leader that did not answer."""

from typing import final

import attrs


@final
@attrs.frozen
class GateHold:
    """Attempts at ``term`` wait until ``until_s``.

    Attributes
    ----------
    delay_s
        Length of this hold; the next one at the same term is twice as long.
    """

    term: int
    until_s: float
    delay_s: float
