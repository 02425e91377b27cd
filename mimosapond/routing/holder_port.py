"""Interface to the hosts that hold a group, for hosts that do not."""

from typing import Protocol, final

from mimosapond.groups.group import Group
from mimosapond.routing.relay_port import Relay
from mimosapond.statements.reply import Failure


class HolderFinder(Protocol):
    """Finds the hosts that work for a group is passed on to."""

    def find(self, group: Group, workspace: str = '') -> Relay | Failure | None:
        """Return the way to the hosts that hold a group.

        Parameters
        ----------
        workspace
            Workspace of the work; empty without one.

        Returns
        -------
        Relay | Failure | None
            None if this host is to run the work; a failure if no host that does
            can be reached.
        """


@final
class RunsHere:
    """Runs all work at this host; used for work that was passed on."""

    def find(self, group: Group, workspace: str = '') -> None:
        """Return None."""
