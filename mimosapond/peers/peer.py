"""Another host of the system."""

from typing import final

import attrs


@final
@attrs.frozen
class Peer:
    """Name, place and peer listener (``ip:port``) of a host."""

    host: str
    address: str
    data_centre: str
