"""Measures the longest time without an acknowledged write."""

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
        Ends of the window. They count as acknowledgements, so that a gap that
        has not ended counts until the end of the window.
    """
    inside = sorted(
        time_s for time_s in acknowledged_s if begin_s <= time_s <= end_s
    )
    times_s = [begin_s, *inside, end_s]
    return max(
        later_s - earlier_s
        for earlier_s, later_s in itertools.pairwise(times_s)
    )
