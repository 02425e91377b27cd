"""The buckets of the workspaces that this host is the home of."""

from collections.abc import Callable, Collection
from typing import Final, TypeAlias, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.configuration.workspace import Workspace
from mimosapond.quotas.quota_terms import QuotaTerms
from mimosapond.quotas.token_bucket import TokenBucket

FindWorkspace: TypeAlias = Callable[[str], Workspace | None]

_MS_PER_S: Final = 1000
# A bucket that was not used for this long is claimed again before it is used,
# because this host does not follow its contacts meanwhile.
_UNUSED_LIMIT_S: Final = 1.0
# Part of the bucket that only operations that wait may use, so that tokens
# taken in advance by one host are not missed by another.
_RESERVE_RATIO: Final = 0.5
# Level below which a bucket is claimed again while it is used.
_LOW_RATIO: Final = 0.25


@final
@attrs.define(eq=False)
class _HomeBucket:
    """A bucket with the share of the data centres that it counts for."""

    bucket: TokenBucket
    share_ratio: float
    used_s: float
    # This host was frozen since the last claim, so that another host may have
    # become the home.
    is_doubtful: bool = False


@final
class QuotaHome:
    """Grants tokens; there is one bucket for each configured workspace.

    Rates and depths follow the configuration in force and the share of the
    data centres that this host hears from. The share of a bucket only grows
    when the bucket is claimed again, as a host of the data centres that were
    cut off may have another one.
    """

    def __init__(
        self, find_workspace: FindWorkspace, terms: QuotaTerms, now: Now
    ) -> None:
        """Start without buckets."""
        self._find_workspace = find_workspace
        self._terms = terms
        self._now = now
        self._buckets: dict[str, _HomeBucket] = {}
        # Former buckets. A host that becomes the home again, because the one
        # that it gave a bucket to is lost, starts with no more than it had.
        self._given_up: dict[str, TokenBucket] = {}

    @property
    def count(self) -> int:
        """Number of buckets."""
        return len(self._buckets)

    def has_bucket(self, name: str) -> bool:
        """Return whether this host has the bucket, certainly or not."""
        return name in self._buckets

    def is_certain(self, name: str) -> bool:
        """Return whether this host has the bucket and need not claim it."""
        home = self._buckets.get(name)
        if home is None or home.is_doubtful:
            return False
        return self._now() - home.used_s <= _UNUSED_LIMIT_S

    def doubt_all(self) -> None:
        """Require that all buckets are claimed again before their use."""
        for home in self._buckets.values():
            home.is_doubtful = True

    def used_names(self) -> list[str]:
        """Return the workspaces whose buckets are certain and in use."""
        return [name for name in self._buckets if self.is_certain(name)]

    def to_reclaim(self, share_ratio: float) -> list[str]:
        """Return the buckets to claim again while they are used.

        Another host may have a bucket of the same workspace if the
        announcements differ, a claim was lost, or data centres were cut off.
        As long as both buckets are rather full, that does no harm.
        """
        return [
            name
            for name in self.used_names()
            if self._buckets[name].share_ratio < share_ratio
            or self._is_low(self._buckets[name].bucket)
        ]

    def install(
        self,
        workspace: Workspace,
        levels: Collection[float],
        share_ratio: float,
        *,
        is_complete: bool,
    ) -> None:
        """Become the home of a workspace, or stay it after another claim.

        Parameters
        ----------
        levels
            Levels of the buckets that other hosts gave up.
        is_complete
            Whether all hosts that may have a bucket answered.
        """
        now_s = self._now()
        former = self._buckets.get(workspace.name)
        known = list(levels)
        if former is not None:
            known.append(former.bucket.level_count(now_s))
        is_certain = self.is_certain(workspace.name)
        is_guess = not (is_certain or levels or is_complete)
        if not known or is_guess:
            known.append(self._start_count(workspace, now_s))
        bucket = TokenBucket(
            workspace.rate_per_s * share_ratio,
            self._terms.depth_count(workspace) * share_ratio,
            min(known),
            now_s,
        )
        used_s = now_s
        if former is not None and is_certain:
            used_s = former.used_s
        self._buckets[workspace.name] = _HomeBucket(bucket, share_ratio, used_s)

    def give_up(self, name: str) -> float | None:
        """Remove a bucket and return its level; None if there is none."""
        home = self._buckets.pop(name, None)
        if home is None:
            return None
        self._given_up[name] = home.bucket
        return home.bucket.level_count(self._now())

    def grant(
        self,
        workspace: Workspace,
        count: int,
        waiting_count: int,
        share_ratio: float,
    ) -> tuple[int, float]:
        """Take tokens of a bucket that this host has.

        Returns
        -------
        tuple[int, float]
            Tokens, and the time in ms until there are more.
        """
        now_s = self._now()
        home = self._buckets[workspace.name]
        home.used_s = now_s
        home.share_ratio = min(home.share_ratio, share_ratio)
        depth = self._terms.depth_count(workspace) * home.share_ratio
        bucket = home.bucket
        bucket.change(workspace.rate_per_s * home.share_ratio, depth, now_s)
        urgent_count = min(waiting_count, count)
        granted = bucket.take(urgent_count, now_s)
        granted += bucket.take(
            count - urgent_count, now_s, reserve_count=depth * _RESERVE_RATIO
        )
        return granted, bucket.wait_s(now_s) * _MS_PER_S

    def forget_removed(self) -> None:
        """Remove the buckets of workspaces that are no longer configured."""
        for name in (*self._buckets, *self._given_up):
            if self._find_workspace(name) is None:
                self._buckets.pop(name, None)
                self._given_up.pop(name, None)

    def _start_count(self, workspace: Workspace, now_s: float) -> float:
        start = self._terms.start_count(workspace)
        former = self._given_up.get(workspace.name)
        if former is None:
            return start
        return min(start, former.level_count(now_s))

    def _is_low(self, bucket: TokenBucket) -> bool:
        level = bucket.level_count(self._now())
        return level < bucket.depth_count * _LOW_RATIO
