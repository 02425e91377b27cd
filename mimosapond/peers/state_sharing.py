"""How much this host relies on others for the state of the store."""

from typing import final

import attrs

from mimosapond.peers.state_follower import StateFollower
from mimosapond.peers.state_publisher import StatePublisher


@final
@attrs.frozen
class StateSharing:
    """Joins the two directions; implements ``RegistrationSharing``."""

    follower: StateFollower
    publisher: StatePublisher

    @property
    def is_following(self) -> bool:
        """Whether another host hands on what it reads."""
        return self.follower.is_following

    @property
    def is_asked(self) -> bool:
        """Whether other hosts rely on what this host reads."""
        return self.publisher.is_asked
