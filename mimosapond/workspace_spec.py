"""A workspace as a service document declares it."""

from typing import final

import attrs


@final
@attrs.frozen
class WorkspaceSpec:
    """Group and connection limit of one workspace.

    Attributes
    ----------
    name
        Name that is unique within the service.
    group
        Database group that holds the workspace's data.
    connection_limit_count
        Maximum number of connections that the workspace may hold to one
        member.
    """

    name: str
    group: str
    connection_limit_count: int = 4
