"""Order of the holders of a group for the work of one workspace.

Each new connection costs a member slot time. The work of a workspace therefore
goes to as few holders as its load allows, which then have connections for it.
"""

import math
from collections.abc import Iterable
from typing import Final

from mimosapond.peers.holder_ranking import prefer_by_host, sort_by_score
from mimosapond.peers.peer import Peer

# Multiple of its share of the holders that a workspace is spread over, so that
# a larger load than usual finds room.
_SPREAD_FACTOR: Final = 1.5


def spread_count(quota_ratio: float, holder_count: int) -> int:
    """Return over how many holders the work of a workspace is spread.

    Parameters
    ----------
    quota_ratio
        Quota of the workspace in relation to the sum of all quotas.
    """
    wanted_count = math.ceil(quota_ratio * holder_count * _SPREAD_FACTOR)
    return min(max(wanted_count, 1), holder_count)


def rank_for_workspace(
    group: str,
    workspace: str,
    holders: Iterable[Peer],
    own: Peer,
    quota_ratio: float,
) -> list[Peer]:
    """Return holders in the order in which a host passes work on to them.

    Of those that the workspace is spread over, each host prefers itself, then
    those of its data centre, and then others in an order of its own. The
    remaining holders follow in an order that all hosts agree on.
    """
    ranked = sort_by_score(f'{workspace} {group}', holders)
    count = spread_count(quota_ratio, len(ranked))
    chosen = sorted(
        prefer_by_host(own.host, ranked[:count]),
        key=lambda peer: (
            peer.host != own.host,
            peer.data_centre != own.data_centre,
        ),
    )
    return [*chosen, *ranked[count:]]
