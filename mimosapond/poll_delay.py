"""Interval between polls of the platform.

A poll returns the whole table or host list. At a fixed interval, the size of
the answers and the load of the platform would grow with the number of hosts, so
the interval grows with it. A host tells its peers what it learns from a poll.
"""

from typing import Final

from mimosapond.peer_contacts import PeerContacts

# Deployments up to this size poll at the configured interval. Both deployments
# have this size.
_UNSCALED_HOST_COUNT: Final = 8
_UNSCALED_DOCUMENT_COUNT: Final = 16


def poll_delay_s(
    interval_s: float,
    contacts: PeerContacts,
    document_count: int = 0,
) -> float:
    """Return the time to the next poll in seconds, with jitter.

    The jitter keeps the hosts from polling at the same time.

    Parameters
    ----------
    interval_s
        Configured interval.
    contacts
        Provides the membership and the random source.
    document_count
        Number of documents that each poll returns. Above a threshold the
        interval grows with this number, so that the bytes per second do not.
    """
    host_count = len(contacts.membership.hosts())
    scale = max(1, host_count / _UNSCALED_HOST_COUNT)
    scale *= max(1, document_count / _UNSCALED_DOCUMENT_COUNT)
    return interval_s * scale * contacts.rng.uniform(0.8, 1.2)
