"""The state of one host as the membership knows it."""

from typing import final

import attrs

from mimosapond.host_state import HostState


@final
@attrs.frozen
class HostRecord:
    """Identity, location and state of a host.

    Attributes
    ----------
    host_id
        Unique for each start of the host's process.
    address
        ``ip:port`` of the peer listener.
    data_centre
        Data centre that the settings of the host name.
    state
        Highest-ranked state that is known for the incarnation.
    incarnation
        Increased only by the host itself, to refute a suspicion.
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
