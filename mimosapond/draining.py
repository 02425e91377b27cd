"""Targets that are leaving and get no new work.

The names come from the platform's list and from operators, and spread between
hosts by push. A name stays until no document declares the member any more, so
a target may return under its name after it was removed from the document.
"""

from collections.abc import Callable, Iterable
from typing import final

from mimosapond.decision_log import DecisionLog
from mimosapond.leaving_target import LeavingTarget


@final
class LeavingTargets:
    """Names of the leaving targets."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Start without any leaving target."""
        self._decisions = decisions
        self._names: set[str] = set()
        self._listeners: list[Callable[[LeavingTarget], None]] = []

    def subscribe(self, listener: Callable[[LeavingTarget], None]) -> None:
        """Call ``listener`` with each new leaving target."""
        self._listeners.append(listener)

    def is_leaving(self, member_name: str) -> bool:
        """Tell whether the member must get no new work."""
        return member_name in self._names

    def names(self) -> tuple[str, ...]:
        """Return all leaving targets."""
        return tuple(sorted(self._names))

    def merge(self, names: Iterable[str]) -> None:
        """Add the targets that are leaving."""
        for name in names:
            if name not in self._names:
                self._add(name)

    def retain(self, declared: Iterable[str]) -> None:
        """Forget targets that no document declares."""
        gone = self._names.difference(declared)
        for name in gone:
            self._decisions.record('target_forgotten', 'undeclared', name=name)
        self._names -= gone

    def _add(self, name: str) -> None:
        self._names.add(name)
        self._decisions.record('target_leaving', 'marked', name=name)
        for listener in self._listeners:
            listener(LeavingTarget(name))
