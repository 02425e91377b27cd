"""Names, addresses and ports of a live test.

Each host has an IP address of its own and calls the store at this address. The
store therefore knows which host calls, and returns addresses of other hosts at
the same IP, where the fault proxy listens for the links of this host. The proxy
listens there for members as well (``soak.host_process``).
"""

from typing import Final, Self, final

import attrs

from soak.plan import SoakPlan
from standins.database_group.group_settings import MemberEndpoint
from standins.processes import free_addresses

MEMBER_COUNT: Final = 3
# Members that a group can have beside those of the start, while new members have
# started and the old ones have not left yet.
SPARE_COUNT: Final = 2
LOOPBACK: Final = '127.0.0.1'
_DATA_CENTRES: Final = 'abc'
DATA_CENTRE_COUNT: Final = len(_DATA_CENTRES)
_FIXED_PORT_COUNT: Final = 6


@final
@attrs.frozen
class HostLayout:
    """Name and address of a host.

    Attributes
    ----------
    link_port
        Port of the fault proxy at which other hosts reach this host; each of
        them uses its own IP address for it.
    """

    name: str
    ip: str
    data_centre: str
    link_port: int


@final
@attrs.frozen
class GroupLayout:
    """Name, members and ports of the process of a group.

    Attributes
    ----------
    members
        Members of the start.
    spare_ports
        Ports of members that replace others.
    """

    name: str
    control_port: int
    members: tuple[MemberEndpoint, ...]
    spare_ports: tuple[int, ...]

    @property
    def member_ports(self) -> tuple[int, ...]:
        """All ports at which members listen."""
        return (*(member.port for member in self.members), *self.spare_ports)


@final
@attrs.frozen
class Layout:
    """Addresses of all processes.

    Attributes
    ----------
    front_port, ready_port, peer_port
        Ports that each host listens on, at its own IP address.
    """

    hosts: tuple[HostLayout, ...]
    groups: tuple[GroupLayout, ...]
    store_port: int
    promotion_port: int
    proxy_port: int
    front_port: int
    ready_port: int
    peer_port: int

    @classmethod
    def choose(cls, plan: SoakPlan) -> Self:
        """Return a layout for ``plan`` on free ports."""
        group_count = MEMBER_COUNT + SPARE_COUNT + 1
        count = _FIXED_PORT_COUNT + plan.hosts + plan.groups * group_count
        ports = [
            int(address.rpartition(':')[2]) for address in free_addresses(count)
        ]
        groups = tuple(
            _group(number, [ports.pop() for _ in range(group_count)])
            for number in range(plan.groups)
        )
        hosts = tuple(
            HostLayout(
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
        """URL at which the operator calls the store."""
        return f'http://{LOOPBACK}:{self.store_port}'

    @property
    def promotion_url(self) -> str:
        """URL at which the fault driver calls the promotion service."""
        return f'http://{LOOPBACK}:{self.promotion_port}'

    def peer_link_ports(self) -> dict[str, int]:
        """Return the port of the proxied links by address of a host."""
        return {
            f'{host.ip}:{self.peer_port}': host.link_port for host in self.hosts
        }

    def link_ports(self) -> dict[str, int]:
        """Return the port of the proxied links by target address."""
        ports = [port for group in self.groups for port in group.member_ports]
        members = {f'{LOOPBACK}:{port}': port for port in ports}
        return {**members, **self.peer_link_ports()}

    def links(self) -> dict[str, tuple[str, str]]:
        """Return listening and target address of each proxied link by name."""
        return {
            link_name(host, port): (f'{host.ip}:{port}', target)
            for host in self.hosts
            for target, port in self.link_ports().items()
        }


def link_name(host: HostLayout, port: int) -> str:
    """Return the name of the proxied link from ``host`` to ``port``."""
    return f'{host.name} {port}'


def _group(number: int, ports: list[int]) -> GroupLayout:
    name = f'g{number}'
    control_port, *member_ports = ports
    members = tuple(
        MemberEndpoint(f'{name}-{centre}', port, centre)
        for centre, port in zip(
            _DATA_CENTRES, member_ports[:MEMBER_COUNT], strict=True
        )
    )
    return GroupLayout(
        name, control_port, members, tuple(member_ports[MEMBER_COUNT:])
    )
