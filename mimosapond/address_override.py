"""Replaces an address that this host reaches by another way."""

from typing import final

import attrs


@final
@attrs.frozen
class AddressOverride:
    """Connections to ``address`` are opened to ``via``.

    Service documents and the host list name each process once; a host behind
    an address translation reaches some of them under other numbers.
    """

    address: str
    via: str
