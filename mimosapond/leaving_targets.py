"""Targets that are leaving and get no new work.

The host list of the platform and operators mark targets as leaving, and hosts
push the marks to each other. A mark is kept until no service document declares
the member. After a member was removed from the documents, a new target may use
its name.
"""

from collections.abc import Callable, Iterable
from typing import final

import attrs

from mimosapond.decision_log import DecisionLog
from mimosapond.leaving_target import LeavingTarget


@final
class LeavingTargets:
    """Keeps the newest mark of each declared target that was ever marked."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Create an empty set of marks."""
        self._decisions = decisions
        self._marks: dict[str, LeavingTarget] = {}
        self._listeners: list[Callable[[LeavingTarget], None]] = []

    def subscribe(self, listener: Callable[[LeavingTarget], None]) -> None:
        """Call ``listener`` with each mark that is applied."""
        self._listeners.append(listener)

    def is_leaving(self, member_name: str) -> bool:
        """Return whether the member must not get new work."""
        mark = self._marks.get(member_name)
        return mark is not None and mark.is_leaving

    def names(self) -> tuple[str, ...]:
        """Return the names of all leaving targets, sorted."""
        return tuple(
            sorted(mark.name for mark in self.marks() if mark.is_leaving),
        )

    def marks(self) -> tuple[LeavingTarget, ...]:
        """Return the newest mark of each target, including withdrawn marks."""
        return tuple(self._marks.values())

    def mark_leaving(self, names: Iterable[str]) -> None:
        """Mark the targets as leaving."""
        for name in names:
            self._change(name, is_leaving=True)

    def clear_leaving(self, name: str) -> None:
        """Withdraw the mark of a target, which then gets new work again."""
        self._change(name, is_leaving=False)

    def apply(self, mark: LeavingTarget) -> bool:
        """Apply a mark, for example from another host, if it is newer.

        Returns
        -------
        bool
            Whether the mark is newer than the known mark and was applied.
        """
        known = self._marks.get(mark.name)
        if known is not None and known.precedence >= mark.precedence:
            return False
        self._marks[mark.name] = mark
        self._decisions.record(
            'target_leaving',
            'marked' if mark.is_leaving else 'mark withdrawn',
            name=mark.name,
            version=mark.version,
        )
        for listener in self._listeners:
            listener(mark)
        return True

    def forget_undeclared(self, declared: Iterable[str]) -> None:
        """Forget the marks of all targets that are not in ``declared``."""
        undeclared = self._marks.keys() - set(declared)
        for name in undeclared:
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
