"""Log of routing and placement decisions, one JSON line for each."""

from typing import Any, Protocol, final

from loguru import logger


class DecisionLog(Protocol):
    """Records decisions with the values that led to them."""

    def record(self, decision: str, reason: str, **fields: Any) -> None:
        """Write one line for ``decision``, with ``fields`` as its fields."""


@final
class LoguruDecisionLog:
    """Writes decisions through loguru."""

    def __init__(self, host_id: str) -> None:
        """Add ``host_id`` to each line."""
        self._logger = logger.bind(host_id=host_id)

    def record(self, decision: str, reason: str, **fields: Any) -> None:
        """Write one line for ``decision``."""
        # The decision is the message of the line, so it needs no field.
        self._logger.bind(reason=reason, **fields).info(decision)


@final
class NullDecisionLog:
    """Discards decisions; for tests of other modules."""

    def record(self, decision: str, reason: str, **fields: Any) -> None:
        """Do nothing."""
