"""Newest known primary and holder of each group."""

import asyncio
from collections.abc import Callable
from typing import final

from mimosapond.group_view import GroupView


@final
class GroupViews:
    """Newest known view of each group; the term of a view never decreases."""

    def __init__(self) -> None:
        """Start without views."""
        self._views: dict[str, GroupView] = {}
        self._changed = asyncio.Condition()
        self._listeners: list[Callable[[GroupView], None]] = []

    def subscribe(self, listener: Callable[[GroupView], None]) -> None:
        """Call ``listener`` with each view that is applied."""
        self._listeners.append(listener)

    def get(self, group: str) -> GroupView | None:
        """Return the newest known view of ``group``; None if there is none."""
        return self._views.get(group)

    def all(self) -> tuple[GroupView, ...]:
        """Return the newest views of all groups."""
        return tuple(self._views.values())

    async def merge(self, view: GroupView) -> bool:
        """Apply ``view`` if its term is above the known one.

        Returns
        -------
        bool
            Whether the view was applied.
        """
        known = self._views.get(view.group)
        if known is not None and known.term >= view.term:
            return False
        self._views[view.group] = view
        for listener in self._listeners:
            listener(view)
        async with self._changed:
            self._changed.notify_all()
        return True

    async def wait_newer(
        self,
        group: str,
        term: int,
        timeout_s: float,
    ) -> GroupView | None:
        """Wait for a view of ``group`` with a term above ``term``.

        Returns
        -------
        GroupView or None
            None if there is no such view within ``timeout_s``.
        """
        try:
            async with asyncio.timeout(timeout_s), self._changed:
                await self._changed.wait_for(
                    lambda: self._term_of(group) > term,
                )
        except TimeoutError:
            return None
        return self._views[group]

    def _term_of(self, group: str) -> int:
        view = self._views.get(group)
        return 0 if view is None else view.term
