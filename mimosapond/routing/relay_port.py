"""What routing asks of other hosts that reach a primary."""

from typing import Protocol, TypeAlias, final

import attrs

from mimosapond.groups.group import Group
from mimosapond.groups.log_position import LogPosition
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Reply
from mimosapond.statements.statement import Begin


@final
@attrs.frozen
class Relayed:
    """The reply of another host, and the log position after a write."""

    reply: Reply
    position: LogPosition | None


@final
@attrs.frozen
class RelayLost:
    """The other host gave no answer.

    Parameters
    ----------
    was_sent
        Whether it may have carried out the work.
    """

    reason: str
    was_sent: bool


RelayOutcome: TypeAlias = Relayed | RelayLost


class RelayedTransaction(Protocol):
    """A transaction that another host keeps open."""

    async def run(self, work: Work) -> RelayOutcome:
        """Run one statement."""

    async def commit(self, work: Work) -> RelayOutcome:
        """End the transaction; its writes are kept if this succeeds."""

    def abandon(self) -> None:
        """Have it rolled back."""


class Relay(Protocol):
    """Another host that has just proven a primary."""

    async def read(self, work: Work) -> RelayOutcome:
        """Have a single read carried out."""

    async def write(self, work: Work) -> RelayOutcome:
        """Have a single write carried out."""

    def open(self, begin: Begin) -> RelayedTransaction:
        """Return a transaction, which begins with its first statement."""


class RelayFinder(Protocol):
    """Finds hosts that reach primaries."""

    async def find(self, group: Group) -> Relay | None:
        """Return a host that reached the primary lately; None if none did.

        The position that it learned from the primary is added to the group's
        observations.
        """

    async def refresh(self, group: Group) -> Relay | None:
        """Return a host that reached the primary after this call."""


@final
class NoRelays:
    """For work that came from another host, and is not passed on again."""

    async def find(self, group: Group) -> None:
        """Find nobody."""

    async def refresh(self, group: Group) -> None:
        """Find nobody."""
