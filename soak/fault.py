"""One fault of a live test."""

import enum
from typing import final

import attrs


@final
class FaultKind(enum.Enum):
    """What is disturbed, and how."""

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
    """A fault, its moment and its targets.

    Attributes
    ----------
    hosts, members
        Numbers of hosts, and pairs of group and member; a cut is between each
        host and each member, or between each two hosts.
    manner
        Kind of the fault at a stand-in, or field of the proxy's faults.
    """

    at_s: float
    kind: FaultKind
    for_s: float = 0
    hosts: tuple[int, ...] = ()
    members: tuple[tuple[int, int], ...] = ()
    manner: str = ''
    ratio: float = 1
