"""Decodes addresses that other programs wrote to the platform's store."""

import ipaddress
from typing import Final, final

import attrs

from mimosapond.platform.decimal_codec import decode_decimal

_MAX_PORT: Final = 65535


@final
@attrs.frozen
class Address:
    """An IP address and a TCP port."""

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``."""
        return f'{self.ip}:{self.port}'


def decode_address(text: str) -> Address | None:
    """Return the address in ``ip:port``; None if the text is not one."""
    ip, _, port_text = text.rpartition(':')
    port = decode_decimal(port_text)
    if port is None or not 0 < port <= _MAX_PORT:
        return None
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        return None
    return Address(ip, port)
