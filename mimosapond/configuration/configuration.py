"""One version of the routes and limits of all databases."""

from collections.abc import Mapping
from typing import final

import attrs

from mimosapond.configuration.route import Route


@final
@attrs.frozen
class GroupLimits:
    """Limits of a database group.

    Parameters
    ----------
    connection_count
        Connections that one member accepts from all hosts together.
    """

    group: str
    connection_count: int


@final
@attrs.frozen
class Configuration:
    """Routes by database and limits by group."""

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupLimits]
    transaction_idle_ms: float
