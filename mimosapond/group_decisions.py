"""Writes decisions of group keepers to the decision log."""

from typing import Any, final

from mimosapond.decision_log import DecisionLog
from mimosapond.group_view import GroupView


@final
class GroupDecisions:
    """Writes the decisions of one keeper with their evidence."""

    def __init__(self, decisions: DecisionLog) -> None:
        """Write to the decision log of the host."""
        self._decisions = decisions

    def record(
        self, view: GroupView, action: str, reason: str, evidence: Any
    ) -> None:
        """Write one decision.

        Parameters
        ----------
        view
            Newest known view of the group.
        action
            What the keeper does, such as ``promote`` or ``none``.
        reason
            Why it does so.
        evidence
            Results that it is based on; written as their ``repr``.
        """
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
