"""What routing asks of other hosts that reach a primary."""

from typing import Protocol, final

from mimosapond.groups.group import Group
from mimosapond.routing.open_transaction import OpenTransaction
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import WorkOutcome
from mimosapond.statements.statement import Begin


class Relay(Protocol):
    """Another host that has just proven a primary."""

    async def read(self, work: Work) -> WorkOutcome:
        """Have a single read carried out."""

    async def write(self, work: Work) -> WorkOutcome:
        """Have a single write carried out."""

    def open(self, begin: Begin) -> OpenTransaction:
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
