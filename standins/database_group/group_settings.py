"""Settings of one database group."""

from typing import final

import attrs


@final
@attrs.frozen
class MemberPlace:
    """Where a member listens, and in which data centre it counts."""

    member_id: str
    port: int
    data_centre: str


@final
@attrs.frozen
class GroupSettings:
    """Settings of the process.

    Attributes
    ----------
    members
        The first one is the primary of term 1.
    slots
        Requests that one member works on at a time.
    max_connections
        Connections that one member accepts from all callers.
    replication_ms
        Shortest time until a replica receives a commit; it applies the commit
        one such period later.
    promote_ms
        From the call that promotes a member until it leads.
    """

    group: str
    control_port: int
    store_address: str
    members: tuple[MemberPlace, ...]
    slots: int = 2
    max_connections: int = 16
    read_ms: float = 4
    write_ms: float = 4
    replication_ms: float = 5
    handshake_ms: float = 5
    promote_ms: float = 300
    seed: int = 0
    heartbeat_ms: float = 400
