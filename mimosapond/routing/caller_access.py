"""Which route and workspace a caller's statement runs with."""

from typing import TypeAlias, final

import attrs

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.route import Route
from mimosapond.routing import failures
from mimosapond.statements.reply import Failure, FailureKind


@final
@attrs.frozen
class CallerAccess:
    """What one version of the configuration grants to a caller.

    Parameters
    ----------
    workspace
        Name of the caller's workspace; empty on a route that is anonymous and
        in a deployment without workspaces.
    configuration_version
        Version that the route and the workspace were looked up in.
    """

    route: Route
    workspace: str
    configuration_version: int


AccessAnswer: TypeAlias = CallerAccess | Failure


def find_access(
    configuration: ActiveConfiguration, database: str, key_digest: str
) -> AccessAnswer:
    """Look up the route of a database and the workspace that holds a key.

    Parameters
    ----------
    key_digest
        Digest of the caller's key; empty without a key.

    Returns
    -------
    CallerAccess | Failure
        ``NO_SUCH_DATABASE`` without a route, and ``UNKNOWN_KEY`` if the route
        requires a key of a workspace and this is none.
    """
    route = configuration.route(database)
    if route is None:
        return failures.NO_SUCH_DATABASE
    version = configuration.version
    if route.is_anonymous or not configuration.has_workspaces:
        return CallerAccess(route, '', version)
    workspace = configuration.workspace_of(key_digest)
    if workspace is None:
        return failures.UNKNOWN_KEY
    return CallerAccess(route, workspace.name, version)


def is_revoked(
    configuration: ActiveConfiguration, database: str, key_digest: str
) -> bool:
    """Return whether a key that was accepted is no longer known."""
    access = find_access(configuration, database, key_digest)
    return (
        isinstance(access, Failure)
        and access.kind is FailureKind.unauthenticated
    )
