"""Registry of the terms that this host holds."""

from typing import final

from mimosapond.term_holder import TermHolder


@final
class TermRegistry:
    """Holders of this host, at most one per group."""

    def __init__(self) -> None:
        """Start without holders."""
        self._holders: dict[str, TermHolder] = {}

    def holder(self, group_name: str) -> TermHolder | None:
        """Return the open holder of ``group_name``; None if there is none."""
        holder = self._holders.get(group_name)
        if holder is None or holder.is_closed:
            return None
        return holder

    def open_terms(self) -> tuple[tuple[str, int], ...]:
        """Return group name and term of each open holder."""
        return tuple(
            (name, holder.view.term)
            for name, holder in self._holders.items()
            if not holder.is_closed
        )

    def install(self, holder: TermHolder) -> None:
        """Register ``holder`` and close the previous holder of its group."""
        self.remove(holder.view.group)
        self._holders[holder.view.group] = holder

    def remove(self, group_name: str) -> None:
        """Close and unregister the holder of ``group_name``, if there is one."""
        holder = self._holders.pop(group_name, None)
        if holder is not None:
            holder.close()
