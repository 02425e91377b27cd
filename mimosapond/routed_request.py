"""A request with what the service document says about it."""

from typing import final

import attrs

from mimosapond.group_spec import GroupSpec
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
