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
    capacity
        Processor time that it gets, in cores; hosts with more hold more groups.
    """

    host: str
    address: str
    data_centre: str
    capacity: float = 1.0
