"""Pace of the polls of the platform.

A poll returns the whole table or host list, so at a fixed interval its size
and the platform's load grow with the number of hosts. The interval therefore
grows with it; what one host learns from a poll, it tells its peers.
"""

from typing import Final

from mimosapond.peer_contacts import PeerContacts

# Both deployments have this size and poll at the interval of the settings.
_UNSCALED_HOST_COUNT: Final = 8
_UNSCALED_DOCUMENT_COUNT: Final = 16


def poll_delay_s(
    interval_s: float,
    contacts: PeerContacts,
    document_count: int = 0,
) -> float:
    """Return the time to the next poll, spread so that hosts don't meet.

    Parameters
    ----------
    interval_s
        Interval of the settings.
    contacts
        Gives the number of hosts and the randomness.
    document_count
        Documents that each poll returns; above a number the interval grows
        with it, so that the bytes per second don't.
    """
    host_count = len(contacts.membership.hosts())
    scale = max(1, host_count / _UNSCALED_HOST_COUNT)
    scale *= max(1, document_count / _UNSCALED_DOCUMENT_COUNT)
    return interval_s * scale * contacts.rng.uniform(0.8, 1.2)
