"""A transaction that is open at a member, directly or through a relay."""

from typing import Protocol

from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import WorkOutcome


class OpenTransaction(Protocol):
    """Runs statements in sequence; writes take effect only at the commit."""

    async def run(self, work: Work) -> WorkOutcome:
        """Run one statement in the transaction."""

    async def commit(self, work: Work) -> WorkOutcome:
        """Commit; the writes take effect only if the reply is a success."""

    def abandon(self) -> None:
        """Roll back in the background; the call returns at once."""
