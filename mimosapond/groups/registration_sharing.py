"""Interface to the hosts that hand on what one of them reads in the store."""

from typing import Protocol, final


class RegistrationSharing(Protocol):
    """Tells how often this host has to read the registrations itself."""

    @property
    def is_following(self) -> bool:
        """Whether another host hands on what it reads."""

    @property
    def is_asked(self) -> bool:
        """Whether other hosts rely on what this host reads."""


@final
class NotShared:
    """Each host reads for itself."""

    @property
    def is_following(self) -> bool:
        """Return False."""
        return False

    @property
    def is_asked(self) -> bool:
        """Return False."""
        return False
