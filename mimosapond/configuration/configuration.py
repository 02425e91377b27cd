"""One version of the routes and limits of all databases."""

from collections.abc import Mapping
from typing import final

import attrs

from mimosapond.configuration.route import Route
from mimosapond.configuration.workspace import Workspace


@final
@attrs.frozen
class GroupLimits:
    """Limits of one database group.

    Parameters
    ----------
    connection_count
        Connections that one member accepts in total from all hosts.
    sync_replica_count
        Replicas that have to receive a commit before it is acknowledged.
    """

    group: str
    connection_count: int
    sync_replica_count: int = 0


@final
@attrs.frozen
class Configuration:
    """Routes by database name and limits by group name.

    Parameters
    ----------
    transaction_idle_timeout_ms
        Longest time that a transaction may be idle between statements.
    workspaces
        Workspaces by name; None in a deployment without workspaces, where
        callers need no key.
    """

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupLimits]
    transaction_idle_timeout_ms: float
    workspaces: Mapping[str, Workspace] | None = None
