"""Entry point of a host whose connections to members can be cut.

Members register with one address, which hosts hand on to each other. The fault
proxy listens for each host at the address of this host. Connections to members
are therefore redirected within the process.
"""

import os
import socket
import sys
from typing import Any, Final
from unittest import mock

from mimosapond.address_resolver import AddressResolver
from mimosapond.platform.daemon import main
from soak.layout import LOOPBACK

# Variable with the address of this host.
OWN_IP_VARIABLE: Final = 'SOAK_HOST_IP'


async def resolve_via_proxy(
    _resolver: AddressResolver,
    host: str,
    port: int,
    family: int = socket.AF_UNSPEC,
) -> list[tuple[int, Any]]:
    """Return the address of the fault proxy for the address of a member."""
    ip = os.environ[OWN_IP_VARIABLE] if host == LOOPBACK else host
    return [(socket.AF_INET, (ip, port))]


if __name__ == '__main__':
    with mock.patch.object(AddressResolver, 'resolve', resolve_via_proxy):
        sys.exit(main())
