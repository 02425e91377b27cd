"""Pace of the polls of the platform.

A poll returns the whole table or host list, so at a fixed interval its size
and the platform's load grow with the number of hosts. The interval therefore
grows with it; what one host learns from a poll, it tells its peers.
"""

from typing import Final

from mimosapond.peer_contacts import PeerContacts

# Both deployments have this size and poll at the interval of the settings.
_UNSCALED_HOST_COUNT: Final = 8


def poll_delay_s(interval_s: float, contacts: PeerContacts) -> float:
    """Return the time to the next poll, spread so that hosts don't meet."""
    host_count = len(contacts.membership.hosts())
    scale = max(1, host_count / _UNSCALED_HOST_COUNT)
    return interval_s * scale * contacts.rng.uniform(0.8, 1.2)
