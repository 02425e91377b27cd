"""Where configurations come from."""

from typing import Protocol, TypeAlias, final

import attrs

from mimosapond.configuration.configuration import Configuration


@final
@attrs.frozen
class SourceState:
    """State of the source at one moment.

    Parameters
    ----------
    configuration
        The newest one; None if it did not change or does not exist.
    mark
        Where to go on following changes.
    """

    configuration: Configuration | None
    mark: int


@final
@attrs.frozen
class SourceGap:
    """Changes may have been missed; read the whole state."""


@final
@attrs.frozen
class SourceUnavailable:
    """The source did not answer."""

    reason: str


SourceAnswer: TypeAlias = SourceState | SourceGap | SourceUnavailable


class ConfigurationSource(Protocol):
    """Reads and follows the operators' configuration."""

    async def read(self) -> SourceAnswer:
        """Return the newest configuration."""

    async def follow(self, mark: int, wait_s: float) -> SourceAnswer:
        """Return what changed after ``mark``, waiting for it."""
