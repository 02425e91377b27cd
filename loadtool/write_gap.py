"""Longest time without an acknowledged write."""

import itertools
from collections.abc import Iterable


def longest_gap_s(
    acknowledged_s: Iterable[float],
    begin_s: float,
    end_s: float,
) -> float:
    """Return the longest time without an acknowledgement in a window.

    Parameters
    ----------
    acknowledged_s
        Monotonic times of acknowledgements, in any order.
    begin_s, end_s
        The window; its ends count as acknowledgements, so that writes that
        never return count as the time until the end.
    """
    inside = sorted(
        moment_s for moment_s in acknowledged_s if begin_s <= moment_s <= end_s
    )
    moments = [begin_s, *inside, end_s]
    return max(
        later_s - earlier_s
        for earlier_s, later_s in itertools.pairwise(moments)
    )
