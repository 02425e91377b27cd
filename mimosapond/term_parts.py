"""Ports and settings for the parts that acquire and hold terms."""

from typing import Final, final

import attrs

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.decision_log import DecisionLog
from mimosapond.metrics import Metrics
from mimosapond.options import Options
from mimosapond.target_port import TargetPort

# Limits the rate of repeated checks of a target that fails immediately.
RETRY_PAUSE_S: Final = 0.05


@final
@attrs.frozen
class TermParts:
    """Ports and settings of one host, shared by these parts."""

    host_id: str
    options: Options
    target: TargetPort
    clock: Clock
    decisions: DecisionLog
    metrics: Metrics

    @property
    def check_timeout_s(self) -> float:
        """Timeout of a control call, in seconds.

        A target or peer that does not answer in time counts as unreachable.
        """
        return self.options.connection_check_timeout_ms / MS_PER_S

    def deadline_after(self, delay_ms: float) -> float:
        """Return the time ``delay_ms`` from now on the monotonic clock."""
        return self.clock.monotonic_s() + delay_ms / MS_PER_S

    def remaining_s(self, deadline_s: float) -> float:
        """Return the time left until ``deadline_s``, at least 0."""
        return max(0, deadline_s - self.clock.monotonic_s())
