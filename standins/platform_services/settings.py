"""Settings of the process of the platform's services."""

from typing import final

import attrs


@final
@attrs.frozen
class PlatformServicesSettings:
    """Where the services listen.

    Attributes
    ----------
    groups
        Control address of each group's process by the group's name.
    host_ips
        Addresses at which hosts ask, besides 127.0.0.1.
    link_ports
        Ports of those addresses that stand for the addresses of members and
        hosts in what each host is shown.
    late_s
        Delay of calls that are applied late.
    """

    store_port: int
    promotion_port: int
    groups: dict[str, str]
    seed: int = 0
    host_ips: tuple[str, ...] = ()
    link_ports: dict[str, int] = attrs.field(factory=dict)
    late_s: float = 2.0
