"""Settings of a member stand-in."""

from typing import final

import attrs


@final
@attrs.frozen
class MemberSettings:
    """Settings of one member process.

    Attributes
    ----------
    address
        ``ip:port`` to listen on.
    peers
        ``ip:port`` of the other members, as this member reaches them.
    schema
        SQL statements that form the first log entries of every member.
    primary
        Whether the member starts as the primary of term 1.
    lag_ms
        Age at which a log entry is shipped to the peers.
    silence_limit_ms
        Time without an answer to a WebSocket ping after which a data
        connection is closed, as by TCP keepalive at a real database.
    """

    name: str
    group: str
    address: str
    peers: tuple[str, ...] = ()
    schema: tuple[str, ...] = ()
    primary: bool = False
    slot_count: int = 2
    connection_limit_count: int = 16
    connect_delay_ms: int = 10
    lock_timeout_ms: int = 1000
    lag_ms: int = 0
    silence_limit_ms: int = 3000
