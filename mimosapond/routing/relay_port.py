"""Interface to other hosts that run work at a primary for this host."""

from typing import Protocol, final

from mimosapond.groups.group import Group
from mimosapond.routing.open_transaction import OpenTransaction
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import WorkOutcome
from mimosapond.statements.statement import Begin


class Relay(Protocol):
    """Another host that has recently confirmed the primary."""

    async def read(self, work: Work) -> WorkOutcome:
        """Have the host run a single read."""

    async def write(self, work: Work) -> WorkOutcome:
        """Have the host run a single write."""

    def open(self, begin: Begin) -> OpenTransaction:
        """Return a transaction; the host begins it with its first statement."""


class RelayFinder(Protocol):
    """Finds other hosts that reach the primary of a group."""

    async def find(self, group: Group) -> Relay | None:
        """Return a host that recently reached the primary.

        The log position that it got from the primary is added to the group's
        observations.

        Returns
        -------
        Relay | None
            None if no host reached the primary; this may be cached for a
            short time.
        """

    async def refresh(self, group: Group) -> Relay | None:
        """Like ``find``, but the host reached the primary after this call."""


@final
class NoRelays:
    """Finds no hosts.

    Used for relayed work, so that it is never passed on a second time.
    """

    async def find(self, group: Group) -> None:
        """Return None."""

    async def refresh(self, group: Group) -> None:
        """Return None."""
