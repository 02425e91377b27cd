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
        Addresses at which hosts ask, besides 127.0.0.1; each sees the members
        at its own address.
    late_s
        Delay of calls that are applied late.
    """

    store_port: int
    promotion_port: int
    groups: dict[str, str]
    seed: int = 0
    host_ips: tuple[str, ...] = ()
    late_s: float = 2.0
