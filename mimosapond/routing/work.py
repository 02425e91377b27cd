"""A read or write of a caller with the data that routing needs."""

from collections.abc import Mapping
from typing import TypeAlias, final

import attrs

from mimosapond.configuration.route import Route
from mimosapond.groups.group import Group
from mimosapond.groups.log_position import LogPosition
from mimosapond.statements.statement import DirectStatement, Shape


@final
@attrs.frozen
class PreparedCall:
    """An execution of a prepared statement, identified by its shape.

    Connections prepare the shape under names of their own, so the name that
    the caller gave is not needed.
    """

    shape: Shape
    arguments: str

    @property
    def is_write(self) -> bool:
        """Whether the statement writes."""
        return self.shape.is_write


# A statement that members run, unlike BEGIN or the definition of a value.
ExecutableStatement: TypeAlias = DirectStatement | PreparedCall


@final
@attrs.frozen
class SessionFloor:
    """The log position after the session's last commit.

    Later reads of the session must include this commit.

    Parameters
    ----------
    acknowledged_s
        Time of the acknowledgement, on the host's boot clock.
    """

    position: LogPosition
    acknowledged_s: float


@final
@attrs.frozen
class Work:
    """A statement with the data that routing needs.

    Parameters
    ----------
    values
        Copy of the acknowledged session values at the arrival of the
        statement. An attempt that is still in flight after the answer must
        not see later changes of them.
    arrived_s, deadline_s
        Times on the host's boot clock.
    floor
        Minimum log position for reads; None if the session has not committed.
    workspace
        Name of the workspace that the caller belongs to; empty in a deployment
        without workspaces.
    key_digest
        Digest of the key that identified the caller; empty without one.
    configuration_version
        Version of the configuration that the route and the workspace were
        looked up in.
    """

    request_id: str
    statement: ExecutableStatement
    values: Mapping[str, str]
    route: Route
    group: Group
    arrived_s: float
    deadline_s: float
    floor: SessionFloor | None
    workspace: str = ''
    key_digest: str = ''
    configuration_version: int = -1
