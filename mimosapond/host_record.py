"""What is known of one host."""

from typing import final

import attrs

from mimosapond.host_state import HostState


@final
@attrs.frozen
class HostRecord:
    """Identity, place and state of a host.

    Attributes
    ----------
    host_id
        New for each start of the process.
    address
        ``ip:port`` of the peer listener.
    data_centre
        From the host's settings.
    incarnation
        Raised by the host itself to refute a suspicion.
    """

    host_id: str
    address: str
    data_centre: str
    state: HostState = HostState.ALIVE
    incarnation: int = 0

    @property
    def is_placeable(self) -> bool:
        """Whether new ownership may be placed on the host."""
        return self.state in {HostState.ALIVE, HostState.SUSPECT}
