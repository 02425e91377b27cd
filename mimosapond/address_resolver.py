"""Resolver for connections whose target is always an IP address."""

import socket
from typing import Any, TypeAlias, final

from tornado.netutil import Resolver

_SocketAddresses: TypeAlias = list[tuple[int, Any]]


@final
class AddressResolver(Resolver):
    """Returns IP addresses unchanged, without a name lookup.

    The default resolver of tornado uses a thread even for an IP address. On a
    busy machine, that took longer than the connect timeout.
    """

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> _SocketAddresses:
        """Return ``host``, which is an IP address, with its address family."""
        address_family = socket.AF_INET6 if ':' in host else socket.AF_INET
        return [(address_family, (host, port))]
