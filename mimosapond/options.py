"""Settings of the daemon."""

import enum
from typing import final

import attrs

from mimosapond.address_override import AddressOverride


@final
class RoutingPolicy(enum.StrEnum):
    """How the host that receives a request reaches the members of a group.

    Attributes
    ----------
    OWNER
        The host that owns a member opens all connections to it; other hosts
        send their requests to that host.
    DIRECT
        Every host opens its own connections to every member. This is the
        baseline with which benchmarks compare ``OWNER``.
    """

    OWNER = 'owner'
    DIRECT = 'direct'


@final
@attrs.frozen
class Options:
    """Settings of one host; docs/settings.md explains each.

    Attributes
    ----------
    host_name
        Stable name of the host. Each process appends a random suffix to it to
        form its host id.
    data_centre
        Data centre in which the host runs.
    caller_address, peer_address, operator_address
        ``ip:port`` of the listeners for callers, other hosts and operators.
    platform_address
        ``ip:port`` of the platform's services.
    seed_addresses
        Peer listeners to contact before the platform's host list is known.
    peer_secret, operator_secret
        Secrets that peers and operators must send.
    address_overrides
        Addresses that are replaced before a connection is opened.
    statsd_address
        ``ip:port`` that metrics are sent to; None discards them.
    direct_host_count
        With the policy ``DIRECT``, the number of hosts that share the
        connection limit of each member.
    body_limit_bytes
        Maximum size of the body of a request.
    header_timeout_s
        Timeout for the headers of the first request of a connection, and for
        each body.
    idle_timeout_s
        Time after which an idle connection is closed.
    caller_connection_limit_count
        Maximum number of open connections at the listener for callers.
    beacon_interval_ms
        Interval between the beacons that confirm the primary of a group.
    suspect_after_ms
        Time without a confirmed beacon after which a primary is suspected.
    connection_check_timeout_ms
        Timeout for opening a connection and for a health check of a member.
    probe_interval_ms
        Interval between the probes of the failure detector for hosts.
    platform_poll_interval_ms
        Interval between reads of the platform's lists.
    platform_timeout_ms, platform_lock_timeout_ms
        Timeout for a call to the platform, and for the claim of a term there.
    drain_timeout_s
        Timeout for the handovers of a graceful shutdown, and again for the
        requests that are still in flight afterwards.
    connection_share_ratio
        Share of the connection limit of a member that its owner may use.
    queue_limit_count
        Maximum number of requests that wait for one member.
    session_limit_count
        Maximum number of sessions whose last write is remembered per group.
    long_statement_ms
        Expected duration above which a statement counts as long.
    aging_step_s
        Waiting time after which the priority of waiting work is raised.
    """

    host_name: str
    data_centre: str
    caller_address: str
    peer_address: str
    operator_address: str
    platform_address: str
    seed_addresses: tuple[str, ...] = ()
    peer_secret: str = attrs.field(default='', repr=False)
    operator_secret: str = attrs.field(default='', repr=False)
    address_overrides: tuple[AddressOverride, ...] = ()
    statsd_address: str | None = None
    log_level: str = 'INFO'
    routing_policy: RoutingPolicy = RoutingPolicy.OWNER
    direct_host_count: int = 8
    body_limit_bytes: int = 1_048_576
    header_timeout_s: float = 10
    idle_timeout_s: float = 120
    caller_connection_limit_count: int = 4096
    beacon_interval_ms: int = 250
    suspect_after_ms: int = 600
    connection_check_timeout_ms: int = 300
    probe_interval_ms: int = 250
    platform_poll_interval_ms: int = 2000
    platform_timeout_ms: int = 1000
    platform_lock_timeout_ms: int = 200
    drain_timeout_s: float = 30
    connection_share_ratio: float = 0.45
    queue_limit_count: int = 1000
    session_limit_count: int = 10_000
    long_statement_ms: int = 50
    aging_step_s: float = 10
