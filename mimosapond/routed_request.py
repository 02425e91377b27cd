"""A request together with its group, workspace and deadline."""

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
    """A request resolved against the service documents.

    Attributes
    ----------
    request
        Request of the caller, with ``deadline_ms`` and ``max_age_ms`` filled
        from the service document where the caller gave none.
    group, workspace
        Specifications in the document that was in force on arrival.
    deadline_s
        Deadline in monotonic time of this host.
    """

    request: StatementRequest
    group: GroupSpec
    workspace: WorkspaceSpec
    deadline_s: float

    def build_peer_run(
        self,
        member: str,
        remaining_s: float,
        floor: Floor | None = None,
    ) -> PeerRun:
        """Build the request to the host that runs one attempt.

        Parameters
        ----------
        member
            Name of the target.
        remaining_s
            Time until the deadline. It is sent instead of the deadline, since
            hosts share no clock.
        floor
            Log entry that a read must include.
        """
        request = attrs.evolve(
            self.request,
            deadline_ms=max(1, int(remaining_s * MS_PER_S)),
        )
        return PeerRun(
            request=request,
            group=self.group.name,
            member=member,
            floor=floor,
            connection_limit_count=self.workspace.connection_limit_count,
        )
