"""A workspace as a service document declares it."""

from typing import final

import attrs


@final
@attrs.frozen
class WorkspaceSpec:
    """Placement and limit of one workspace.

    Attributes
    ----------
    name
        Unique in the service.
    group
        Database group that holds the workspace's data.
    connection_limit_count
        Connections the workspace may hold at one member.
    """

    name: str
    group: str
    connection_limit_count: int = 4
