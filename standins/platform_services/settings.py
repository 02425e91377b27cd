"""Settings of the process that runs the platform services."""

from typing import final

import attrs


@final
@attrs.frozen
class PlatformServicesSettings:
    """Addresses, groups and delays of the services.

    Attributes
    ----------
    groups
        Control address of the process of each group, by group name.
    host_ips
        Addresses to listen on for the hosts, in addition to 127.0.0.1.
    link_ports
        Port by address of a member or host. Rows sent to a host contain the
        host's own server address with this port instead.
    late_s
        Delay of calls under the fault ``applies_late``.
    """

    store_port: int
    promotion_port: int
    groups: dict[str, str]
    seed: int = 0
    host_ips: tuple[str, ...] = ()
    link_ports: dict[str, int] = attrs.field(factory=dict)
    late_s: float = 2.0
