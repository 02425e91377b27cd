"""Another host of the system."""

from typing import final

import attrs


@final
@attrs.frozen
class Peer:
    """A host, as it announces itself to the others.

    Parameters
    ----------
    host
        Name of the host.
    address
        ``ip:port`` of its listener for requests of other hosts.
    """

    host: str
    address: str
    data_centre: str
