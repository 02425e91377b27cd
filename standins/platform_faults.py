"""Faults of the platform stand-in, set by its admin interface."""

from typing import final

import attrs


@final
@attrs.frozen
class PlatformFaults:
    """Current faults; by default, none.

    Attributes
    ----------
    down
        Requests are answered with 503 and have no effect.
    silent
        Requests get no answer and have no effect.
    slow_ms
        Delay before a request takes effect.
    lose_answers
        Number of following writes that take effect without an answer.
    hosts_lag_ms
        Age at which a change of a host appears in the host list.
    """

    down: bool = False
    silent: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    hosts_lag_ms: int = 0
