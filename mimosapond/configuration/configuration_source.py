"""The port through which a host reads the operators' configuration."""

from collections.abc import Callable
from typing import Protocol, TypeAlias, final

import attrs

from mimosapond.configuration.configuration import Configuration


@final
@attrs.frozen
class SourceState:
    """State of the source at one point in time.

    Parameters
    ----------
    configuration
        The newest configuration; None if it has not changed or does not
        exist.
    cursor
        Position in the change feed from which to continue.
    """

    configuration: Configuration | None
    cursor: int


@final
@attrs.frozen
class SourceGap:
    """Changes may have been missed; the whole state must be read again."""


@final
@attrs.frozen
class SourceUnavailable:
    """The source did not give a usable answer."""

    reason: str


SourceAnswer: TypeAlias = SourceState | SourceGap | SourceUnavailable
# Is called with the bytes of an answer that have arrived so far.
Progress: TypeAlias = Callable[[int], None]


def ignore_progress(byte_count: int) -> None:
    """Do nothing."""


class ConfigurationSource(Protocol):
    """Reads and follows the operators' configuration.

    Both calls report the progress of their answer while it arrives.
    """

    async def read(
        self, on_progress: Progress = ignore_progress
    ) -> SourceAnswer:
        """Return the newest configuration without waiting for a change."""

    async def follow(
        self,
        cursor: int,
        wait_s: float,
        on_progress: Progress = ignore_progress,
    ) -> SourceAnswer:
        """Return the changes after ``cursor``; wait ``wait_s`` if none."""
