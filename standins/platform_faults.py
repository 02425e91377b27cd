"""Faults of the platform stand-in, as its admin interface sets them."""

from typing import final

import attrs


@final
@attrs.frozen
class PlatformFaults:
    """Current faults; the defaults are none.

    Attributes
    ----------
    down
        Requests are answered with 503 and have no effect.
    silent
        Requests get no answer and have no effect.
    slow_ms
        Delay before a request takes effect.
    lose_answers
        How many of the next writes take effect without an answer.
    hosts_lag_ms
        Age at which a change of a host appears in the list.
    """

    down: bool = False
    silent: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    hosts_lag_ms: int = 0
