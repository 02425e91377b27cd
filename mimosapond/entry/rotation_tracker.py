"""Determines whether the load balancer still sends new callers to this host.

The load balancer checks the readiness once a second and takes a host out of
rotation after two negative answers in a row. The host can therefore derive its
own state from the answers that it gave.
"""

from typing import Final, final

from mimosapond.boot_clock import Now

_NOT_READY_ANSWERS_BEFORE_REMOVAL_COUNT: Final = 2
# Applies if the load balancer does not check, because it may be unreachable.
_REMOVAL_TIMEOUT_S: Final = 2.3


@final
class RotationTracker:
    """Counts negative answers to the load balancer's readiness check."""

    def __init__(self, now: Now) -> None:
        """Start in rotation, before the first readiness check."""
        self._now = now
        self._not_ready_answer_count = 0
        self._not_ready_since_s: float | None = None

    def record_answer(self, *, is_ready: bool) -> None:
        """Record an answer that the load balancer was given."""
        self._not_ready_answer_count = (
            0 if is_ready else self._not_ready_answer_count + 1
        )

    def update_readiness(self, *, is_ready: bool) -> None:
        """Record the current readiness, whether or not it was asked for."""
        if is_ready:
            self._not_ready_answer_count = 0
            self._not_ready_since_s = None
        elif self._not_ready_since_s is None:
            self._not_ready_since_s = self._now()

    @property
    def is_out_of_rotation(self) -> bool:
        """Whether new callers are sent to other hosts that are ready."""
        if self._not_ready_since_s is None:
            return False
        not_ready_s = self._now() - self._not_ready_since_s
        return (
            self._not_ready_answer_count
            >= _NOT_READY_ANSWERS_BEFORE_REMOVAL_COUNT
            or not_ready_s > _REMOVAL_TIMEOUT_S
        )
