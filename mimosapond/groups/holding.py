"""Interface to the choice of the hosts that hold a group."""

from typing import Protocol, final

from mimosapond.groups.connection_share import ConnectionShare


class Holding(Protocol):
    """Tells which groups this host holds.

    A host that holds a group keeps connections to its members, probes its
    primary and replaces it when it is lost. Other hosts pass work on to it.
    """

    def holds(self, group: str) -> bool:
        """Return whether this host holds a group now."""

    def holder_count(self, group: str) -> int | None:
        """Return how many hosts hold a group; None if all hosts do."""

    def share(self, group: str) -> ConnectionShare:
        """Return this host's part in the connections to a group's members."""

    def is_reachable(self, group: str) -> bool:
        """Return whether this host holds a group or reaches one that does."""

    def record_request(self, group: str) -> bool:
        """Record that another host passed on work for a group.

        Returns
        -------
        bool
            Whether this host holds the group only from now on.
        """


@final
class HoldsAll:
    """Holds every group, as each host of a small system does."""

    def holds(self, group: str) -> bool:
        """Return True."""
        return True

    def holder_count(self, group: str) -> int | None:
        """Return None: all hosts hold the group."""

    def share(self, group: str) -> None:
        """Return None: all hosts have an equal part."""

    def is_reachable(self, group: str) -> bool:
        """Return True."""
        return True

    def record_request(self, group: str) -> bool:
        """Return False: the group was held before."""
        return False
