"""A transaction that is open at a member, here or through another host."""

from typing import Protocol

from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import WorkOutcome


class OpenTransaction(Protocol):
    """Statements run one after another; nothing is kept before the commit."""

    async def run(self, work: Work) -> WorkOutcome:
        """Run one statement."""

    async def commit(self, work: Work) -> WorkOutcome:
        """End the transaction; its writes are kept if this succeeds."""

    def abandon(self) -> None:
        """Have it rolled back."""
