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
        Indexes of hosts, and pairs of group index and member index. A cut
        affects the links between each host and each member; a peer cut affects
        the links between each two of the hosts.
    manner
        Kind of the fault at a stand-in, or field of the fault proxy's settings.
    ratio
        Strength of a member fault: the probability per answer of faults that
        affect answers, or the factor of the statement cost for ``slow``.
    """

    at_s: float
    kind: FaultKind
    for_s: float = 0
    hosts: tuple[int, ...] = ()
    members: tuple[tuple[int, int], ...] = ()
    manner: str = ''
    ratio: float = 1
