"""One fault of a live test."""

import enum
from typing import final

import attrs


@final
class FaultKind(enum.Enum):
    """Kind of a fault, which selects how the fault driver injects it."""

    restart = 'restart'
    kill = 'kill'
    kill_all = 'kill_all'
    freeze = 'freeze'
    reload = 'reload'
    configure = 'configure'
    store = 'store'
    promotion = 'promotion'
    lose_registrations = 'lose_registrations'
    member = 'member'
    cut = 'cut'
    peer_cut = 'peer_cut'


@final
class MemberChoice(enum.IntEnum):
    """Members that are chosen by their role when a fault starts.

    The values take the place of the index of a member.
    """

    primary = -1
    first_replica = -2
    second_replica = -3
    # The replica that started last; it is one of the others as well.
    newest_replica = -4


@final
@attrs.frozen
class Fault:
    """A fault with its start time, duration and targets.

    Attributes
    ----------
    at_s
        Start, counted from the start of the fault schedule.
    for_s
        Duration; 0 for a fault without one.
    hosts, members
        Indexes of hosts, and pairs of group index and member index, or
        ``MemberChoice`` in place of the latter. A cut affects the links between each host and each member; a peer cut affects
        the links between each two of the hosts.
    manner
        Kind of the fault at a stand-in, or field of the fault proxy's settings.
    ratio
        Strength of a member fault: the probability per answer of faults that
        affect answers, the factor of the statement cost for ``slow``, the
        number of connections for ``occupied``, or the delay in seconds for
        ``late_resume``.
    delay_s
        Delay of calls that are carried out late; for ``replace``, time from the
        start of the new member until the old one drains.
    """

    at_s: float
    kind: FaultKind
    for_s: float = 0
    hosts: tuple[int, ...] = ()
    members: tuple[tuple[int, int], ...] = ()
    manner: str = ''
    ratio: float = 1
    delay_s: float = 0
