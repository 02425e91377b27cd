"""Tolerated excess over a quota, and how its parts are used."""

from typing import Final, final

import attrs

from mimosapond.configuration.workspace import Workspace

# Parts of the tolerated excess. The rest covers the time in which a home that
# was cut off from other data centres still grants its former share.
_START_RATIO: Final = 1 / 3
_EXPIRY_RATIO: Final = 1 / 4
# Part of the slack by which buckets are deeper than the burst. The burst of a
# small workspace is about one operation, and two that arrive together are
# within the quota of a window.
_DEPTH_SLACK_RATIO: Final = 1 / 3
# Longest time between the request for a token and its use.
_MAX_EXPIRY_S: Final = 1.0


@final
@attrs.frozen
class QuotaTerms:
    """The window in which operations are counted, and the tolerated excess.

    Parameters
    ----------
    overshoot_ratio
        Part of the quota of a window that may be exceeded.
    slack_count
        Operations in a window that are tolerated in addition.
    """

    window_s: float = 5.0
    overshoot_ratio: float = 0.1
    slack_count: float = 20.0

    def quota_count(self, workspace: Workspace) -> float:
        """Return the quota of one window, without the tolerated excess."""
        return workspace.rate_per_s * self.window_s + workspace.burst_count

    def excess_count(self, workspace: Workspace) -> float:
        """Return the tolerated excess over the quota of a window."""
        quota = self.quota_count(workspace)
        return quota * self.overshoot_ratio + self.slack_count

    def start_count(self, workspace: Workspace) -> float:
        """Return the tokens of a bucket whose former level is unknown."""
        start = self.excess_count(workspace) * _START_RATIO
        return min(start, self.depth_count(workspace))

    def depth_count(self, workspace: Workspace) -> float:
        """Return the most tokens that a bucket has."""
        slack = self.slack_count * _DEPTH_SLACK_RATIO
        return workspace.burst_count + slack

    def expiry_s(self, workspace: Workspace) -> float:
        """Return the time after which a granted token must not be used.

        A window can contain the use of tokens that were granted this long
        before it began, so that the time is a part of the excess.
        """
        if workspace.rate_per_s <= 0:
            return _MAX_EXPIRY_S
        excess = self.excess_count(workspace) * _EXPIRY_RATIO
        return min(excess / workspace.rate_per_s, _MAX_EXPIRY_S)
