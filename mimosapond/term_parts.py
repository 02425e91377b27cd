"""What every part of the terms area is given."""

from typing import Final, final

import attrs

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.decision_log import DecisionLog
from mimosapond.metrics import Metrics
from mimosapond.options import Options
from mimosapond.target_port import TargetPort

# Bounds the rate of repeated checks against a target that fails at once.
RETRY_PAUSE_S: Final = 0.05


@final
@attrs.frozen
class TermParts:
    """Ports and settings that the parts of one host share."""

    host_id: str
    options: Options
    target: TargetPort
    clock: Clock
    decisions: DecisionLog
    metrics: Metrics

    @property
    def check_timeout_s(self) -> float:
        """Time a control call may take before the other end is silent."""
        return self.options.connection_check_timeout_ms / MS_PER_S

    def deadline_after(self, delay_ms: float) -> float:
        """Return the monotonic time ``delay_ms`` from now, in seconds."""
        return self.clock.monotonic_s() + delay_ms / MS_PER_S

    def remaining_s(self, deadline_s: float) -> float:
        """Return the time left until ``deadline_s``, at least 0."""
        return max(0, deadline_s - self.clock.monotonic_s())
