"""Addresses of one host of a started deployment."""

from typing import final

import attrs


@final
@attrs.frozen
class DeployedHost:
    """Name, data centre and listening addresses of a host."""

    name: str
    data_centre: str
    caller_address: str
    peer_address: str
    operator_address: str
