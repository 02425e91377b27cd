"""One JSON log line for each routing or placement decision."""

from typing import Any, Protocol, final

from loguru import logger


class DecisionLog(Protocol):
    """Records decisions with the figures that led to them."""

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Write one line for ``decision``."""


@final
class LoguruDecisionLog:
    """Writes decisions through loguru."""

    def __init__(self, host_id: str) -> None:
        """Bind the host id to each line."""
        self._logger = logger.bind(host_id=host_id)

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Write one line for ``decision``."""
        # The event is the decision; a field of its own would repeat it.
        self._logger.bind(reason=reason, **figures).info(decision)


@final
class NullDecisionLog:
    """Drops decisions; for tests of other modules."""

    def record(self, decision: str, reason: str, **figures: Any) -> None:
        """Do nothing."""
