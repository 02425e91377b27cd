"""States of a host in the membership."""

import enum
from typing import final


@final
class HostState(enum.StrEnum):
    """State of a host in the view of its peers.

    Attributes
    ----------
    ALIVE
        The host answers probes.
    SUSPECT
        Neither direct nor indirect probes were answered.
    LEAVING
        The host shuts down and gets no new ownership.
    DEAD
        A suspicion was not refuted in time.
    """

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'
