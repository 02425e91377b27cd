"""Targets that are leaving and get no new work.

Marks come from the platform's list and from operators, and spread between
hosts by push. A mark stays until no document declares the member any more, so
a target may return under its name after it was removed from the document.
"""

from collections.abc import Callable, Iterable
from typing import final

import attrs

from mimosapond.decision_log import DecisionLog
from mimosapond.leaving_target import LeavingTarget


@final
class LeavingTargets:
    """Newest mark of each target that was ever leaving."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Start without any mark."""
        self._decisions = decisions
        self._marks: dict[str, LeavingTarget] = {}
        self._listeners: list[Callable[[LeavingTarget], None]] = []

    def subscribe(self, listener: Callable[[LeavingTarget], None]) -> None:
        """Call ``listener`` with each new mark."""
        self._listeners.append(listener)

    def is_leaving(self, member_name: str) -> bool:
        """Tell whether the member must get no new work."""
        mark = self._marks.get(member_name)
        return mark is not None and mark.is_leaving

    def names(self) -> tuple[str, ...]:
        """Return all leaving targets."""
        return tuple(
            sorted(mark.name for mark in self.marks() if mark.is_leaving),
        )

    def marks(self) -> tuple[LeavingTarget, ...]:
        """Return the newest mark of each target."""
        return tuple(self._marks.values())

    def merge(self, names: Iterable[str]) -> None:
        """Mark the targets as leaving."""
        for name in names:
            self._change(name, is_leaving=True)

    def restore(self, name: str) -> None:
        """Take the mark of a target back."""
        self._change(name, is_leaving=False)

    def apply(self, mark: LeavingTarget) -> bool:
        """Apply a mark of another host; tell whether it was newer."""
        known = self._marks.get(mark.name)
        if known is not None and known.precedence >= mark.precedence:
            return False
        self._marks[mark.name] = mark
        self._decisions.record(
            'target_leaving',
            'marked' if mark.is_leaving else 'mark taken back',
            name=mark.name,
            version=mark.version,
        )
        for listener in self._listeners:
            listener(mark)
        return True

    def retain(self, declared: Iterable[str]) -> None:
        """Forget targets that no document declares."""
        gone = self._marks.keys() - set(declared)
        for name in gone:
            self._decisions.record('target_forgotten', 'undeclared', name=name)
            self._marks.pop(name)

    def _change(self, name: str, *, is_leaving: bool) -> None:
        if self.is_leaving(name) == is_leaving:
            return
        known = self._marks.get(name, LeavingTarget(name, version=0))
        self.apply(
            attrs.evolve(
                known,
                version=known.version + 1,
                is_leaving=is_leaving,
            ),
        )
