"""Choice of the hosts that hold a group, by rendezvous hashing.

Every host computes the same ranking from the same announcements, and a host that
comes or goes moves only the groups that it holds itself.
"""

import hashlib
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Final

from mimosapond.peers.peer import Peer

# Hosts that hold a group, over all data centres. Few enough that each has
# several connections to each member, and enough that some are left after the
# loss of a data centre.
_HOLDER_COUNT: Final = 6
_HASH_BYTES: Final = 8
_HASH_RANGE: Final = 2 ** (8 * _HASH_BYTES)


def rank_by_data_centre(
    group: str, hosts: Iterable[Peer]
) -> dict[str, list[Peer]]:
    """Return the hosts of each data centre, the preferred ones first."""
    ranking: dict[str, list[Peer]] = defaultdict(list)
    for host in sort_by_score(group, hosts):
        ranking[host.data_centre].append(host)
    return dict(ranking)


def holders_per_data_centre(ranking: Mapping[str, list[Peer]]) -> int:
    """Return how many hosts of each data centre hold a group."""
    return max(round(_HOLDER_COUNT / max(len(ranking), 1)), 1)


def prefer_by_host(own_host: str, peers: Iterable[Peer]) -> list[Peer]:
    """Return peers in an order that differs between hosts.

    The work of many hosts is thus spread over equally good peers.
    """
    return sort_by_score(own_host, peers)


def sort_by_score(key: str, hosts: Iterable[Peer]) -> list[Peer]:
    """Return hosts in the order of rendezvous hashing for a key."""
    return sorted(hosts, key=lambda host: _score(key, host), reverse=True)


def _score(key: str, host: Peer) -> float:
    """Return a score whose maximum is a host in proportion to its capacity."""
    digest = hashlib.blake2b(
        f'{key} {host.host}'.encode(), digest_size=_HASH_BYTES
    ).digest()
    uniform = (int.from_bytes(digest, 'big') + 1) / (_HASH_RANGE + 1)
    return -host.capacity / math.log(uniform)
