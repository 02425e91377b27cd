"""A token bucket on a clock that its user passes in."""

from typing import Final, final

# Rates below this one count as none, so that waits stay finite.
_MIN_RATE_PER_S: Final = 0.001


@final
class TokenBucket:
    """Tokens that are refilled at a constant rate up to a depth."""

    def __init__(
        self,
        rate_per_s: float,
        depth_count: float,
        level_count: float,
        now_s: float,
    ) -> None:
        """Create a bucket that has ``level_count`` tokens at ``now_s``."""
        self._rate_per_s = rate_per_s
        self.depth_count = depth_count
        self._level_count = min(level_count, depth_count)
        self._filled_s = now_s

    def level_count(self, now_s: float) -> float:
        """Return the tokens at ``now_s``; a time that goes back is ignored."""
        passed_s = max(now_s - self._filled_s, 0)
        self._filled_s = max(now_s, self._filled_s)
        self._level_count = min(
            self._level_count + passed_s * self._rate_per_s, self.depth_count
        )
        return self._level_count

    def change(
        self, rate_per_s: float, depth_count: float, now_s: float
    ) -> None:
        """Change rate and depth; tokens above the new depth are lost."""
        self.limit(self.level_count(now_s))
        self._rate_per_s = rate_per_s
        self.depth_count = depth_count
        self.limit(depth_count)

    def limit(self, level_count: float) -> None:
        """Lower the level to at most ``level_count``."""
        self._level_count = min(self._level_count, level_count)

    def take(self, count: int, now_s: float, reserve_count: float = 0) -> int:
        """Take up to ``count`` whole tokens, and return how many.

        Parameters
        ----------
        reserve_count
            Tokens that stay in the bucket.
        """
        available = int(self.level_count(now_s) - reserve_count)
        taken = max(min(count, available), 0)
        self._level_count -= taken
        return taken

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next whole token."""
        missing = max(1 - self.level_count(now_s), 0)
        return missing / max(self._rate_per_s, _MIN_RATE_PER_S)
