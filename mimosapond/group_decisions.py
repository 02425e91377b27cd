"""Log of what keepers of groups decided, and on what evidence."""

from typing import Any, final

from mimosapond.decision_log import DecisionLog
from mimosapond.group_view import GroupView


@final
class GroupDecisions:
    """Decisions of one keeper."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Take the log of the host."""
        self._decisions = decisions

    def record(
        self, view: GroupView, action: str, reason: str, evidence: Any
    ) -> None:
        """Write one decision with its evidence."""
        self._decisions.record(
            'group_checked',
            reason,
            action=action,
            group=view.group,
            term=view.term,
            primary=view.primary,
            holder=view.holder,
            evidence=repr(evidence),
        )
