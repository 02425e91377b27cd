"""A request with what the service document says about it."""

from typing import final

import attrs

from mimosapond.clock import MS_PER_S
from mimosapond.floor import Floor
from mimosapond.group_spec import GroupSpec
from mimosapond.peer_run import PeerRun
from mimosapond.statement_request import StatementRequest
from mimosapond.workspace_spec import WorkspaceSpec


@final
@attrs.frozen
class RoutedRequest:
    """Request, placement and absolute deadline.

    Attributes
    ----------
    request
        ``max_age_ms`` is filled from the document.
    group, workspace
        From the newest document.
    deadline_s
        Monotonic time of this host.
    """

    request: StatementRequest
    group: GroupSpec
    workspace: WorkspaceSpec
    deadline_s: float

    def run_at(
        self,
        member: str,
        left_s: float,
        floor: Floor | None = None,
    ) -> PeerRun:
        """Build the peer request for one attempt.

        Parameters
        ----------
        member
            Target of the attempt.
        left_s
            Time left; the owner has no clock in common with this host.
        floor
            Entry that a read must include.
        """
        request = attrs.evolve(
            self.request,
            deadline_ms=max(1, int(left_s * MS_PER_S)),
        )
        return PeerRun(
            request=request,
            group=self.group.name,
            member=member,
            floor=floor,
            connection_limit_count=self.workspace.connection_limit_count,
        )
