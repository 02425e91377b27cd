"""Parameters of a deployment that is started on loopback."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, final

import attrs

from mimosapond.class_promise import ClassPromise
from mimosapond.work_class import WorkClass

FORGE_SCHEMA: Final = (
    'CREATE TABLE orders (id TEXT PRIMARY KEY, note TEXT, tally INTEGER)',
)


@final
@attrs.frozen
class DeploymentSpec:
    """Sizes and settings of hosts, groups and members.

    Attributes
    ----------
    service
        Name of the service; a deployment has exactly one.
    data_centres
        Data centres to which hosts and members are assigned in turn.
    schema
        SQL statements that each member runs at its start.
    lag_ms
        Age of log entries at which a primary ships them to its replicas.
    network_delay_ms
        One-way delay of links that pass through the fault proxy.
    host_settings
        Additional fields for the settings files of hosts.
    """

    service: str
    data_centres: tuple[str, ...]
    connection_limit_count: int
    connect_delay_ms: int
    host_count: int = 8
    group_count: int = 3
    member_count: int = 3
    slot_count: int = 2
    lag_ms: int = 20
    network_delay_ms: float = 0.5
    schema: tuple[str, ...] = FORGE_SCHEMA
    promises: tuple[ClassPromise, ...] = (
        ClassPromise(WorkClass.URGENT, deadline_ms=250, max_age_ms=1000),
        ClassPromise(WorkClass.INTERACTIVE, deadline_ms=5000, max_age_ms=1000),
        ClassPromise(WorkClass.BATCH, deadline_ms=600_000, max_age_ms=5000),
    )
    workspace_connection_count: int = 4
    host_settings: Mapping[str, Any] = MappingProxyType({})
    routing_policy: str = 'owner'
    log_level: str = 'WARNING'

    def group_names(self) -> tuple[str, ...]:
        """Return the group names, ``<service>-<index>``."""
        return tuple(
            f'{self.service}-{index}' for index in range(self.group_count)
        )

    def data_centre(self, index: int) -> str:
        """Return the data centre for the host or member with an index."""
        return self.data_centres[index % len(self.data_centres)]


FORGE: Final = DeploymentSpec(
    service='forge',
    data_centres=('kigali-a', 'kigali-b', 'kigali-c'),
    connection_limit_count=16,
    connect_delay_ms=10,
)
GEMLAB: Final = DeploymentSpec(
    service='gemlab',
    data_centres=('suva', 'nadi', 'lautoka', 'nausori'),
    connection_limit_count=30,
    connect_delay_ms=30,
)
