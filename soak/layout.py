"""Names, addresses and ports of a live test.

Each host has an IP address of its own and asks the store there, so the store
shows it members and other hosts at that address; a proxy forwards from there.
"""

from typing import Final, Self, final

import attrs

from soak.plan import SoakPlan
from standins.database_group.group_settings import MemberPlace
from standins.processes import free_addresses

MEMBER_COUNT: Final = 3
LOOPBACK: Final = '127.0.0.1'
_DATA_CENTRES: Final = 'abc'
_FIXED_PORT_COUNT: Final = 6


@final
@attrs.frozen
class HostPlace:
    """Name and address of a host.

    Attributes
    ----------
    link_port
        At which other hosts reach it, each at an address of its own.
    """

    name: str
    ip: str
    data_centre: str
    link_port: int


@final
@attrs.frozen
class GroupPlace:
    """A group, the control port of its process and its members."""

    name: str
    control_port: int
    members: tuple[MemberPlace, ...]


@final
@attrs.frozen
class Layout:
    """All places; the ports of hosts are the same on all of them."""

    hosts: tuple[HostPlace, ...]
    groups: tuple[GroupPlace, ...]
    store_port: int
    promotion_port: int
    proxy_port: int
    front_port: int
    ready_port: int
    peer_port: int

    @classmethod
    def choose(cls, plan: SoakPlan) -> Self:
        """Return places on ports that are free."""
        count = (
            _FIXED_PORT_COUNT + plan.hosts + plan.groups * (MEMBER_COUNT + 1)
        )
        ports = [
            int(address.rpartition(':')[2]) for address in free_addresses(count)
        ]
        groups = tuple(
            _group(number, [ports.pop() for _ in range(MEMBER_COUNT + 1)])
            for number in range(plan.groups)
        )
        hosts = tuple(
            HostPlace(
                f'host-{number}',
                f'127.0.1.{number + 1}',
                _DATA_CENTRES[number % len(_DATA_CENTRES)],
                ports.pop(),
            )
            for number in range(plan.hosts)
        )
        return cls(hosts, groups, *ports)

    @property
    def store_url(self) -> str:
        """Where the operator calls the store."""
        return f'http://{LOOPBACK}:{self.store_port}'

    @property
    def promotion_url(self) -> str:
        """Where the driver calls the promotion desk."""
        return f'http://{LOOPBACK}:{self.promotion_port}'

    def link_ports(self) -> dict[str, int]:
        """Return the port of the links to each member and host."""
        members = [member for group in self.groups for member in group.members]
        return {
            **{f'{LOOPBACK}:{member.port}': member.port for member in members},
            **{
                f'{host.ip}:{self.peer_port}': host.link_port
                for host in self.hosts
            },
        }

    def links(self) -> dict[str, tuple[str, str]]:
        """Return listening and target address of each proxied link."""
        return {
            link_name(host, port): (f'{host.ip}:{port}', target)
            for host in self.hosts
            for target, port in self.link_ports().items()
        }


def link_name(host: HostPlace, port: int) -> str:
    """Return the proxy's name of the link from a host."""
    return f'{host.name} {port}'


def _group(number: int, ports: list[int]) -> GroupPlace:
    name = f'g{number}'
    members = tuple(
        MemberPlace(f'{name}-{centre}', port, centre)
        for centre, port in zip(_DATA_CENTRES, ports[1:], strict=True)
    )
    return GroupPlace(name, ports[0], members)
