"""Violations of consistency rules that a live test found."""

import time
from typing import final

import attrs


@final
@attrs.frozen
class Violation:
    """A violation of a consistency rule.

    Attributes
    ----------
    rule
        Name of the rule, for example ``LOST`` or ``STALE``.
    at_s
        Time of detection, counted from the creation of the log.
    host
        Host whose answer shows the violation; empty if no answer shows it.
    request_ids
        Affected requests.
    """

    rule: str
    at_s: float
    host: str
    request_ids: tuple[str, ...]
    detail: str

    def __str__(self) -> str:
        """Return a report of one line."""
        ids = ','.join(self.request_ids)
        return f'{self.rule} at {self.at_s:.3f} s {self.host} {ids}: ' + (
            self.detail
        )


@final
class ViolationLog:
    """All violations of a run."""

    def __init__(self) -> None:
        """Create an empty log; times count from now."""
        self._started_s = time.monotonic()
        self.found: list[Violation] = []

    @property
    def elapsed_s(self) -> float:
        """Time since the creation of the log."""
        return time.monotonic() - self._started_s

    def add(self, rule: str, host: str, ids: list[str], detail: str) -> None:
        """Add a violation with the current time."""
        self.found.append(
            Violation(rule, self.elapsed_s, host, tuple(ids), detail),
        )
