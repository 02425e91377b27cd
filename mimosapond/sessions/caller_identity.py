"""The database and the key that a caller named at the start of its session."""

from typing import final

import attrs

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.routing.caller_access import (
    AccessAnswer,
    find_access,
    is_revoked,
)


@final
@attrs.frozen
class CallerIdentity:
    """Looks up what the version in force grants to one caller.

    Parameters
    ----------
    database
        Name of the database, which determines the route.
    key_digest
        Digest of the key; empty without a key.
    """

    database: str
    key_digest: str
    configuration: ActiveConfiguration = attrs.field(repr=False)

    @property
    def group(self) -> str:
        """Name of the group that serves the database; empty without a route."""
        route = self.configuration.route(self.database)
        return '' if route is None else route.group

    @property
    def is_revoked(self) -> bool:
        """Whether the version in force does not know the key."""
        return is_revoked(self.configuration, self.database, self.key_digest)

    def find_access(self) -> AccessAnswer:
        """Return the route and the workspace, or why there is none."""
        return find_access(self.configuration, self.database, self.key_digest)
