"""Sizes of a deployment that is started on loopback."""

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
    """What to start.

    Attributes
    ----------
    service
        Name of the one service.
    data_centres
        Hosts and members are spread over them in turn.
    schema
        SQL statements run at each member.
    lag_ms
        Age at which members ship log entries.
    network_delay_ms
        One-way delay of links that pass the fault proxy.
    host_settings
        Further fields of the hosts' settings files.
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
        """Return the names of the groups."""
        return tuple(
            f'{self.service}-{index}' for index in range(self.group_count)
        )

    def data_centre(self, index: int) -> str:
        """Return the data centre of the host or member ``index``."""
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
