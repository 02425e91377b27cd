"""Series of faults around a change of primary.

An acknowledged commit can be lost if the members or the hosts change while a
primary is replaced. Each series combines a lost primary with such changes.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence
from types import MappingProxyType
from typing import Final

from soak.fault import Fault, FaultKind, MemberChoice
from soak.series_start import Series, SeriesStart

_CRASH: Final = 'crash'
_DEAF: Final = 'deaf'
# Range of a crash of a moment, after which a member is back before a change of
# primary has ended.
_MIN_MOMENT_S: Final = 0.2
_MAX_MOMENT_S: Final = 1.0
_MAX_LOSS_S: Final = 4.0
# Range of the delay of promotion calls that are carried out late.
_MIN_LATE_S: Final = 2.0
_MAX_LATE_S: Final = 12.0
# Time for which a new member is registered before hosts count on it.
_ESTABLISHED_S: Final = 7.0
# Longer than a series, so that the old member does not drain meanwhile.
_LONG_OVERLAP_S: Final = 15.0
_DRAIN_S: Final = 7.5
# Time for which the claim of a change excludes others.
_CLAIM_S: Final = 4.0
_MAX_HOST_COUNT: Final = 3
# Connections, out of 16 that a member accepts, that others hold.
_OCCUPIED_COUNTS: Final = (12, 14, 16)
_SLOW_FACTORS: Final = (6, 12, 25)
_REPLICAS: Final = (MemberChoice.first_replica, MemberChoice.second_replica)
_REPLACED: Final = (*_REPLICAS, MemberChoice.newest_replica)


def _replace_members(start: SeriesStart) -> Series:
    """Replace members one after another, and lose the primary meanwhile."""
    group = start.group()
    for number in range(3):
        at_s = start.after_s(0, 2) + 3 * number
        choice = start.rng.choice((*_REPLACED, MemberChoice.primary))
        yield _replace(start, group, at_s, choice, start.duration_s(4))
    yield from _lose_primary(start, group, start.after_s(0, 10))
    yield from _lose_primary(start, group, start.after_s(0, 10))


def _restart_replicas(start: SeriesStart) -> Series:
    """Crash replicas for a moment while the primary is replaced."""
    yield from _crash_replicas(start, start.group(), _CRASH, _REPLICAS)


def _lose_replica_logs(start: SeriesStart) -> Series:
    """Start a replica again without its log while a primary is replaced.

    The other replica keeps its log, so that a commit is never at the lost
    primary alone for want of logs.
    """
    crashed = start.rng.choice(_REPLICAS)
    yield from _crash_replicas(start, start.group(), 'lose_log', (crashed,))


def _promote_late(start: SeriesStart) -> Series:
    """Carry promotion calls out late, while the primary is back."""
    group = start.group()
    yield _late_promotions(start, start.rng.uniform(_MIN_LATE_S, _MAX_LATE_S))
    yield from _lose_primary(start, group, start.after_s(0.1, 0.5))


def _join_before_late_promotion(start: SeriesStart) -> Series:
    """Start a member that is established when a late call is carried out."""
    group = start.group()
    late_s = start.rng.uniform(_ESTABLISHED_S + 1, _MAX_LATE_S)
    yield _late_promotions(start, late_s)
    yield from _lose_primary(start, group, start.after_s(0.1, 0.3), 1)
    yield _join(start, group, start.after_s(0, late_s - _ESTABLISHED_S))


def _restart_during_late_promotion(start: SeriesStart) -> Series:
    """Start a replica again between a promotion call and its effect.

    It receives from then on, while the member that is promoted may not.
    """
    group = start.group()
    late_s = start.rng.uniform(2 * _MIN_LATE_S, _MAX_LATE_S)
    yield _late_promotions(start, late_s, late_s + 1)
    yield from _lose_primary(start, group, start.after_s(0.1, 0.3), 1)
    yield _member_fault(
        group,
        start.after_s(2, late_s),
        start.rng.choice(_REPLICAS),
        start.rng.choice((_CRASH, 'lose_log')),
        start.rng.uniform(_MIN_MOMENT_S, _MAX_MOMENT_S),
    )


def _raise_fence_late(start: SeriesStart) -> Series:
    """Carry out late the calls that name the primary, to raise the fence.

    An earlier late call has replaced this primary by then, and it receives nothing
    from its successor.
    """
    group = start.group()
    late_s = start.rng.uniform(_ESTABLISHED_S - 2, _ESTABLISHED_S)
    yield _late_promotions(start, late_s, late_s + _CLAIM_S)
    yield _crash_primary(start, group)
    yield _member_fault(
        group,
        start.at_s + late_s - 1,
        MemberChoice.primary,
        _DEAF,
        late_s + _CLAIM_S,
    )


def _resume_late(start: SeriesStart) -> Series:
    """Carry requests to resume out late, beside changes that follow quickly.

    Replicas that one change paused are resumed while a later change relies on
    their pause. Hosts on the other side of a cut go on using the primary.
    """
    group = start.group()
    late_s = start.rng.uniform(1, _CLAIM_S)
    for choice in _REPLICAS:
        yield Fault(
            start.at_s,
            FaultKind.member,
            _MAX_LATE_S,
            members=((group, choice),),
            manner='late_resume',
            ratio=late_s,
        )
    yield _crash_primary(start, group)
    for number in range(3):
        at_s = start.after_s(3, 4) + late_s * number
        yield from _lose_primary(start, group, at_s)


def _start_beside_join(start: SeriesStart) -> Series:
    """Start hosts beside a new member that alone receives commits.

    The other hosts cannot read the store, so they do not know the new member
    when they replace the primary. The hosts that know it end with the primary.
    """
    group = start.group()
    started = start.hosts(2)
    others = set(range(start.plan.hosts)).difference(started)
    for choice in _REPLICAS:
        yield _member_fault(
            group, start.at_s, choice, _DEAF, start.rng.uniform(5, 8)
        )
    yield Fault(
        start.after_s(0, 0.3),
        FaultKind.store,
        start.rng.uniform(5, 7),
        tuple(others),
        manner=start.rng.choice(('refuses', 'silent')),
    )
    yield _join(start, group, start.after_s(0.3, 0.5))
    yield Fault(start.after_s(0.5, 0.8), FaultKind.kill, 0, started)
    lost_s = start.after_s(1.5, 2.5)
    yield Fault(lost_s, FaultKind.kill, 2, started)
    yield _member_fault(
        group,
        lost_s,
        MemberChoice.primary,
        start.rng.choice((_CRASH, 'dark')),
        start.rng.uniform(2, _MAX_LOSS_S),
    )


def _start_beside_late_promotion(start: SeriesStart) -> Series:
    """Start hosts and a member between a promotion call and its effect.

    The new member is not established by then at hosts that run all the time.
    """
    group = start.group()
    yield _late_promotions(start, start.rng.uniform(5, _ESTABLISHED_S))
    yield from _lose_primary(start, group, start.after_s(0.1, 0.3), 1)
    yield _join(start, group, start.after_s(0.5, 1.2))
    for host in start.hosts(_MAX_HOST_COUNT):
        yield Fault(start.after_s(0.5, 1.8), FaultKind.kill, 0, (host,))


def _crowd(start: SeriesStart) -> Series:
    """Use up the connections of members, and lose or release the primary."""
    group = start.group()
    yield from _occupy(start, group)
    yield from _lose_primary(start, group, start.after_s(0.3, 3))
    if start.rng.random() < 1 / 3:
        at_s = start.after_s(0.3, 3)
        yield _replace(start, group, at_s, MemberChoice.primary, 0)


def _combine(start: SeriesStart) -> Series:
    """Combine series at one group, all within a few seconds."""
    kinds = start.rng.sample(_COMBINED, 3)
    for kind in kinds:
        yield from kind(start)


def _crash_primary(start: SeriesStart, group: int) -> Fault:
    """Crash a primary for long enough that a change of it begins."""
    return _member_fault(
        group,
        start.after_s(0.1, 0.3),
        MemberChoice.primary,
        _CRASH,
        start.rng.uniform(2, 3),
    )


def _crash_replicas(
    start: SeriesStart,
    group: int,
    manner: str,
    crashed: Sequence[MemberChoice],
) -> Series:
    """Crash replicas repeatedly around the loss of a primary.

    One replica may receive nothing before, so that another one alone has the
    latest commits.
    """
    deaf = start.rng.choice(_REPLICAS)
    if start.rng.random() < 1 / 2:
        yield _member_fault(
            group, start.at_s, deaf, _DEAF, start.rng.uniform(1, 3)
        )
    lost_s = start.after_s(0.5, 2)
    yield from _lose_primary(start, group, lost_s)
    for choice in start.rng.choices(crashed, k=2):
        yield _member_fault(
            group,
            lost_s + start.rng.uniform(-0.5, 1.5),
            choice,
            manner,
            start.rng.uniform(_MIN_MOMENT_S, _MAX_MOMENT_S),
        )


def _occupy(start: SeriesStart, group: int) -> Series:
    for choice in (MemberChoice.primary, *_REPLICAS):
        for_s = start.rng.uniform(3, 6)
        at_s = start.after_s(0, 1)
        for manner, ratios in (
            ('occupied', _OCCUPIED_COUNTS),
            ('slow', _SLOW_FACTORS),
        ):
            yield _member_fault(
                group, at_s, choice, manner, for_s, start.rng.choice(ratios)
            )


def _lose_primary(
    start: SeriesStart, group: int, at_s: float, max_s: float = _MAX_LOSS_S
) -> Series:
    """Crash a primary, make it unreachable, or cut it off from hosts."""
    moment_s = start.rng.uniform(_MIN_MOMENT_S, _MAX_MOMENT_S)
    for_s = start.rng.choice((moment_s, start.duration_s(max_s)))
    manner = start.rng.choice((_CRASH, 'dark', 'cut', 'split'))
    if manner in {_CRASH, 'dark'}:
        yield _member_fault(group, at_s, MemberChoice.primary, manner, for_s)
        return
    hosts = tuple(range(start.plan.hosts))
    if manner == 'split':
        # The hosts on the other side go on using the primary.
        count = start.rng.randint(1, start.plan.hosts - 1)
        hosts = tuple(start.rng.sample(hosts, count))
        yield from _cut_all_peers(start, at_s, for_s)
    yield Fault(
        at_s,
        FaultKind.cut,
        for_s,
        hosts,
        ((group, MemberChoice.primary),),
        'both',
    )


def _cut_all_peers(
    start: SeriesStart, at_s: float, for_s: float
) -> Iterator[Fault]:
    hosts = tuple(range(start.plan.hosts))
    yield Fault(at_s, FaultKind.peer_cut, for_s, hosts, manner='both')


def _late_promotions(
    start: SeriesStart, late_s: float, for_s: float = 0
) -> Fault:
    # While all calls are late, nobody can overtake the first one.
    chosen_s = start.rng.choice((start.rng.uniform(2, 4), late_s + 1))
    return Fault(
        start.at_s,
        FaultKind.promotion,
        for_s or chosen_s,
        manner='applies_late',
        delay_s=late_s,
    )


def _join(start: SeriesStart, group: int, at_s: float) -> Fault:
    choice = start.rng.choice(_REPLICAS)
    return _replace(start, group, at_s, choice, _LONG_OVERLAP_S)


def _replace(
    start: SeriesStart,
    group: int,
    at_s: float,
    choice: MemberChoice,
    overlap_s: float,
) -> Fault:
    return Fault(
        at_s,
        FaultKind.member,
        start.rng.uniform(2, _DRAIN_S),
        members=((group, choice),),
        manner='replace',
        delay_s=overlap_s,
    )


def _member_fault(
    group: int,
    at_s: float,
    choice: MemberChoice,
    manner: str,
    for_s: float,
    ratio: float = 1,
) -> Fault:
    return Fault(
        at_s,
        FaultKind.member,
        for_s,
        members=((group, choice),),
        manner=manner,
        ratio=ratio,
    )


_COMBINED: Final = (
    _replace_members,
    _restart_replicas,
    _lose_replica_logs,
    _promote_late,
    _join_before_late_promotion,
    _restart_during_late_promotion,
    _raise_fence_late,
    _start_beside_join,
    _start_beside_late_promotion,
    _crowd,
)
# Series that are drawn only if a plan names them, so that the schedules of other seeds
# stay as they are.
NAMED_WEIGHTS: Final[Mapping[Callable[[SeriesStart], Series], float]] = (
    MappingProxyType({_resume_late: 1})
)
PRIMARY_CHANGE_WEIGHTS: Final[
    Mapping[Callable[[SeriesStart], Series], float]
] = MappingProxyType({**dict.fromkeys(_COMBINED, 1), _combine: 4})
