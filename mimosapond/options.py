"""The one class of settings of the daemon."""

import enum
from typing import final

import attrs

from mimosapond.address_override import AddressOverride


@final
class RoutingPolicy(enum.StrEnum):
    """``OWNER`` is the product; ``DIRECT`` is the measured baseline."""

    OWNER = 'owner'
    DIRECT = 'direct'


@final
@attrs.frozen
class Options:
    """Settings of one host; docs/settings.md explains each.

    Attributes
    ----------
    host_name
        Stable name; a random suffix makes the host id of each process.
    data_centre
        Where the host runs.
    caller_address, peer_address, operator_address
        ``ip:port`` of the three listeners.
    platform_address
        ``ip:port`` of the platform's services.
    seed_addresses
        Peer listeners to ask before the platform's host list is known.
    peer_secret, operator_secret
        Required from peers and operators.
    address_overrides
        Addresses that this host reaches by another way.
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
