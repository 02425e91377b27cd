"""How many connections a host may open to each member of a group."""

from typing import Final, TypeAlias, final

import attrs

# Share of a member's connections that one host may open if all hosts hold each
# group. The rest is left to other hosts, whose number of callers varies.
_CONNECTION_SHARE_RATIO: Final = 0.2
_MIN_CONNECTION_COUNT: Final = 2
# After a power failure, members still count the connections of the previous
# processes for some seconds. Each host that starts therefore opens only a small
# share at first and leaves the remaining connections to other hosts.
_STARTUP_S: Final = 3.5
_STARTUP_SHARE_RATIO: Final = 0.0625
# Share of a member's connections that the hosts which hold its group open
# together. The rest is left to hosts that take over from them.
_HELD_SHARE_RATIO: Final = 0.8
# Part of its share that a holder opens after its start. With the connections of
# their previous processes, all holders then stay under the member's limit.
_STARTUP_HELD_RATIO: Final = 0.25


@final
@attrs.frozen
class HolderShare:
    """The host is one of a few that hold the group.

    Parameters
    ----------
    holder_count
        Number of hosts that hold the group.
    """

    holder_count: int


@final
@attrs.frozen
class StandInShare:
    """The host follows the holders, and holds the group if they are lost.

    Parameters
    ----------
    index
        Its place among the hosts that follow the holders; the first is 0.
    stand_in_count
        Number of these hosts.
    """

    holder_count: int
    index: int
    stand_in_count: int


@final
@attrs.frozen
class RequestedShare:
    """The host holds the group at most because another host asked it to."""


# None if all hosts hold the group.
ConnectionShare: TypeAlias = HolderShare | StandInShare | RequestedShare | None


def connection_limit_count(
    share: ConnectionShare, connection_count: int, age_s: float
) -> int:
    """Return how many connections a host may open to each member.

    Parameters
    ----------
    connection_count
        Connections that a member accepts from all hosts together.
    age_s
        Time since the start of the host.
    """
    is_new = age_s < _STARTUP_S
    match share:
        case None if is_new:
            return max(1, int(connection_count * _STARTUP_SHARE_RATIO))
        case None:
            return max(
                _MIN_CONNECTION_COUNT,
                int(connection_count * _CONNECTION_SHARE_RATIO),
            )
        case HolderShare(holder_count=holder_count):
            ratio = _STARTUP_HELD_RATIO if is_new else 1
            return _holder_limit_count(connection_count, holder_count, ratio)
        case StandInShare():
            return _stand_in_limit_count(share, connection_count)
        case RequestedShare():
            return 1


def _holder_limit_count(
    connection_count: int, holder_count: int, ratio: float
) -> int:
    held_ratio = _HELD_SHARE_RATIO / holder_count
    return max(1, int(connection_count * held_ratio * ratio))


def _stand_in_limit_count(share: StandInShare, connection_count: int) -> int:
    """Divide what the holders leave; the first ones get the remainder."""
    held_count = share.holder_count * _holder_limit_count(
        connection_count, share.holder_count, 1
    )
    left_count = connection_count - max(
        held_count, int(connection_count * _HELD_SHARE_RATIO)
    )
    each_count, more_count = divmod(max(left_count, 0), share.stand_in_count)
    return each_count + (share.index < more_count)
