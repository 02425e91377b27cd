"""Broken rules that a live test found."""

import time
from typing import final

import attrs


@final
@attrs.frozen
class Violation:
    """A broken rule.

    Attributes
    ----------
    at_s
        Since the start of the callers.
    host
        Host whose answer showed it; empty if no caller saw it.
    request_ids
        Requests concerned.
    """

    rule: str
    at_s: float
    host: str
    request_ids: tuple[str, ...]
    detail: str

    def __str__(self) -> str:
        """Return one line."""
        ids = ','.join(self.request_ids)
        return f'{self.rule} at {self.at_s:.3f} s {self.host} {ids}: ' + (
            self.detail
        )


@final
class ViolationLog:
    """All violations of a run."""

    def __init__(self) -> None:
        """Start the clock."""
        self._started_s = time.monotonic()
        self.found: list[Violation] = []

    @property
    def elapsed_s(self) -> float:
        """Time since the start of the callers."""
        return time.monotonic() - self._started_s

    def add(self, rule: str, host: str, ids: list[str], detail: str) -> None:
        """Record a violation now."""
        self.found.append(
            Violation(rule, self.elapsed_s, host, tuple(ids), detail),
        )
