"""Resolver for hosts that are reached by IP address only."""

import socket
from typing import Any, TypeAlias, final

from tornado.netutil import Resolver

_SocketAddresses: TypeAlias = list[tuple[int, Any]]


@final
class AddressResolver(Resolver):
    """Returns addresses as they are.

    The library's resolver asks a thread even for an IP address. On a busy
    machine its answer took longer than the limit for connecting.
    """

    async def resolve(
        self, host: str, port: int, family: int = socket.AF_UNSPEC
    ) -> _SocketAddresses:
        """Return the address itself."""
        found = socket.AF_INET6 if ':' in host else socket.AF_INET
        return [(found, (host, port))]
