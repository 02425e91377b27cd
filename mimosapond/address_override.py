"""Replacement of an address that this host can't reach directly."""

from typing import final

import attrs


@final
@attrs.frozen
class AddressOverride:
    """Connections to ``address`` are opened to ``via``.

    Service documents and the host list contain one address for each process. A
    host behind network address translation must use other addresses for some
    of them.
    """

    address: str
    via: str
