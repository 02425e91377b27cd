"""Whether the balancer still sends new callers to this host.

The balancer asks once a second and takes a host out after two refusals in a
row, so the host knows from its own answers.
"""

from typing import Final, final

from mimosapond.boot_clock import Now

_REFUSALS_BEFORE_REMOVAL: Final = 2
# For a balancer that does not ask, as it may be out of reach.
_REMOVAL_TIMEOUT_S: Final = 2.3


@final
class RotationTracker:
    """Counts the answers to the balancer's question."""

    def __init__(self, now: Now) -> None:
        """Start as a host that the balancer has not asked yet."""
        self._now = now
        self._refused_count = 0
        self._refusing_since_s: float | None = None

    def record_answer(self, *, is_ready: bool) -> None:
        """Note what the balancer was told."""
        self._refused_count = 0 if is_ready else self._refused_count + 1

    def update_readiness(self, *, is_ready: bool) -> None:
        """Note what the balancer would be told now."""
        if is_ready:
            self._refused_count = 0
            self._refusing_since_s = None
        elif self._refusing_since_s is None:
            self._refusing_since_s = self._now()

    @property
    def is_out(self) -> bool:
        """Whether new callers go to other hosts, if there are any."""
        if self._refusing_since_s is None:
            return False
        refusing_s = self._now() - self._refusing_since_s
        return (
            self._refused_count >= _REFUSALS_BEFORE_REMOVAL
            or refusing_s > _REMOVAL_TIMEOUT_S
        )
