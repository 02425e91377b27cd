"""Port through which operations take tokens of their workspace."""

from typing import Protocol, final

from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure


class Quota(Protocol):
    """Limits the operations of workspaces over all hosts."""

    async def take(self, work: Work, count: int = 1) -> Failure | None:
        """Take tokens before work is sent to a member.

        Returns
        -------
        Failure | None
            A failure that says when to retry, if the quota is used up.
        """

    def give_back(self, work: Work) -> None:
        """Give back the token of work that reached no member."""


@final
class NoQuotas:
    """Limits nothing; used where no workspaces are configured."""

    async def take(self, work: Work, count: int = 1) -> Failure | None:
        """Return None."""

    def give_back(self, work: Work) -> None:
        """Do nothing."""
