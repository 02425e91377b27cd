"""A read or a write of a caller, ready to be sent to a member."""

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
    """A run of a prepared statement, by its shape."""

    shape: Shape
    arguments: str

    @property
    def is_write(self) -> bool:
        """Whether it writes."""
        return self.shape.is_write


Access: TypeAlias = DirectStatement | PreparedCall


@final
@attrs.frozen
class SessionFloor:
    """Log position after the session's last commit.

    Parameters
    ----------
    acknowledged_s
        When the commit was acknowledged, on the host's boot clock.
    """

    position: LogPosition
    acknowledged_s: float


@final
@attrs.frozen
class Work:
    """A statement with all that routing needs to know.

    Parameters
    ----------
    values
        Session values as acknowledged when the statement arrived; a try that
        is still under way after the answer must not see later ones.
    arrived_s, deadline_s
        On the host's boot clock.
    """

    request_id: str
    access: Access
    values: Mapping[str, str]
    route: Route
    group: Group
    arrived_s: float
    deadline_s: float
    floor: SessionFloor | None
