"""Settings of one database group."""

from typing import final

import attrs


@final
@attrs.frozen
class MemberEndpoint:
    """Loopback port of a member, and the data centre it is assigned to."""

    member_id: str
    port: int
    data_centre: str


@final
@attrs.frozen
class GroupSettings:
    """Settings of the process of one group.

    Attributes
    ----------
    members
        The first member is the primary of term 1.
    spare_ports
        Ports of members that start later, beside those of the start.
    slots
        Requests that one member runs at the same time.
    max_connections
        Connections that one member accepts from all callers.
    read_ms, write_ms, handshake_ms
        Mean time for which a read, a write or a new connection occupies a
        slot.
    replication_ms
        Shortest time until a replica receives a commit; the replica applies it
        one such period later.
    promote_ms
        Time from the call that promotes a member until it is primary.
    heartbeat_ms
        Mean interval at which a member renews its registration.
    drain_ms
        Time after which new work must not reach a member that reports that it
        drains.
    """

    group: str
    control_port: int
    store_address: str
    members: tuple[MemberEndpoint, ...]
    spare_ports: tuple[int, ...] = ()
    slots: int = 2
    max_connections: int = 16
    read_ms: float = 4
    write_ms: float = 4
    replication_ms: float = 5
    handshake_ms: float = 5
    promote_ms: float = 300
    seed: int = 0
    heartbeat_ms: float = 400
    drain_ms: float = 7000
