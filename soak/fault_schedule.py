"""Generates the fault schedule of a live test from its seed.

The schedule consists of overlapping series of related faults. About two series
start per second.
"""

import random
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias

from soak.fault import Fault, FaultKind
from soak.layout import DATA_CENTRE_COUNT, MEMBER_COUNT
from soak.plan import SoakPlan
from soak.primary_change_series import (
    NAMED_WEIGHTS,
    PRIMARY_CHANGE_WEIGHTS,
)
from soak.series_start import Series, SeriesStart

_FAULT_FREE_START_S: Final = 2.0
_FAULT_FREE_END_S: Final = 3.0
_STORE_MANNERS: Final = (
    'refuses',
    'silent',
    'loses_answers',
    'applies_late',
    'slow',
    'forgets_history',
)
_PROMOTION_MANNERS: Final = _STORE_MANNERS[:5]
_MEMBER_MANNERS: Final = (
    'crash',
    'dark',
    'answer_lost',
    'answer_cut',
    'answer_split',
    'slow',
    'forget_connections',
    'deaf',
)
_CUT_MANNERS: Final = (
    'both',
    'cut_to_target',
    'cut_to_client',
    'cut',
    'silent',
)
_MEMBER_FAULT_RATIOS: Final = (0.05, 0.2, 0.6)
_MAX_HOST_COUNT: Final = 4
_RESTART_INTERVAL_S: Final = 0.7
# A little longer than the drain period of a leaving member in the settings of
# hosts.
_DRAIN_S: Final = 7.5
# So short that a cut only resets the open connections.
_RESET_S: Final = 0.05
_BURST_COUNT: Final = 8
_BURST_INTERVAL_S: Final = 0.1
# Name of all series around a change of primary.
_PRIMARY_CHANGES: Final = 'primary_changes'

_Weights: TypeAlias = Mapping[Callable[[SeriesStart], Series], float]


def build_schedule(plan: SoakPlan) -> list[Fault]:
    """Return the faults of a plan, sorted by start time."""
    rng = random.Random(f'faults {plan.seed}')
    faults: list[Fault] = []
    at_s = _FAULT_FREE_START_S
    end_s = plan.duration_s - _FAULT_FREE_END_S
    series_weights = _weights(plan)
    kinds, weights = tuple(series_weights), tuple(series_weights.values())
    while at_s < end_s:
        series = rng.choices(kinds, weights)[0]
        faults.extend(series(SeriesStart(plan, rng, at_s)))
        at_s += _draw_interval_s(plan, rng)
    scheduled = [fault for fault in faults if fault.at_s < end_s]
    return sorted(scheduled, key=lambda fault: fault.at_s)


def _draw_interval_s(plan: SoakPlan, rng: random.Random) -> float:
    if plan.series_names:
        return plan.interval_s * rng.uniform(1 / 2, 3 / 2)
    return rng.expovariate(1 / plan.interval_s)


def _weights(plan: SoakPlan) -> _Weights:
    """Return the series of a plan and their weights.

    Raises
    ------
    KeyError
        If the plan names an unknown series.
    """
    if not plan.series_names:
        return _PLANNED_WEIGHTS if plan.is_planned_only else _SERIES_WEIGHTS
    known = {
        series.__name__.strip('_'): (series, weight)
        for series, weight in (
            *_SERIES_WEIGHTS.items(),
            *PRIMARY_CHANGE_WEIGHTS.items(),
            *NAMED_WEIGHTS.items(),
        )
    }
    names = plan.series_names
    if names == (_PRIMARY_CHANGES,):
        return PRIMARY_CHANGE_WEIGHTS
    return dict(known[name] for name in names)


def _cut(start: SeriesStart) -> Series:
    """Cut the links between some hosts and one or two members of a group."""
    group, first = start.member()
    members = [(group, first)]
    if start.rng.random() < 1 / 2:
        members.append((group, (first + 1) % MEMBER_COUNT))
    yield Fault(
        start.at_s,
        FaultKind.cut,
        start.duration_s(4),
        start.hosts(start.plan.hosts // 2),
        tuple(members),
        start.rng.choice(_CUT_MANNERS),
    )


def _isolate(start: SeriesStart) -> Series:
    """Cut the links between half of the hosts and one member of each group."""
    hosts = start.rng.sample(range(start.plan.hosts), start.plan.hosts // 2)
    member = start.member()[1]
    yield Fault(
        start.at_s,
        FaultKind.cut,
        start.duration_s(4),
        tuple(hosts),
        tuple((group, member) for group in range(start.plan.groups)),
        start.rng.choice(_CUT_MANNERS),
    )


def _cut_peers(start: SeriesStart) -> Series:
    """Reset the links between some hosts, or cut them for some seconds."""
    hosts = start.rng.sample(
        range(start.plan.hosts), max(2, start.plan.hosts // 2)
    )
    yield Fault(
        start.at_s,
        FaultKind.peer_cut,
        start.rng.choice((_RESET_S, start.duration_s(2))),
        tuple(hosts),
        manner=start.rng.choice(_CUT_MANNERS),
    )


def _member(start: SeriesStart) -> Series:
    yield Fault(
        start.at_s,
        FaultKind.member,
        start.duration_s(4),
        members=(start.member(),),
        manner=start.rng.choice(_MEMBER_MANNERS),
        ratio=start.rng.choice(_MEMBER_FAULT_RATIOS),
    )


def _drain(start: SeriesStart) -> Series:
    """Drain a member; a new member then starts at its address."""
    yield Fault(
        start.at_s,
        FaultKind.member,
        _DRAIN_S,
        members=(start.member(),),
        manner='drain',
    )


def _members_in_turn(start: SeriesStart) -> Series:
    """Crash the members of a group one after another."""
    group, first = start.member()
    for number in range(MEMBER_COUNT):
        yield Fault(
            start.at_s + 3 * number,
            FaultKind.member,
            2,
            members=((group, (first + number) % MEMBER_COUNT),),
            manner='crash',
        )


def _restarts(start: SeriesStart) -> Series:
    for number, host in enumerate(start.hosts(_MAX_HOST_COUNT)):
        at_s = start.at_s + number * _RESTART_INTERVAL_S
        yield Fault(at_s, FaultKind.restart, start.duration_s(1), (host,))


def _stop_data_centre(start: SeriesStart) -> Series:
    """Stop all hosts of a data centre, or all but one, at the same time."""
    place = start.rng.randrange(DATA_CENTRE_COUNT)
    hosts = range(place, start.plan.hosts, DATA_CENTRE_COUNT)
    kept_count = start.rng.randint(0, 1)
    for host in hosts[kept_count:]:
        yield Fault(start.at_s, FaultKind.restart, start.duration_s(1), (host,))


def _stop_and_change(start: SeriesStart) -> Series:
    """Reload hosts and change the configuration while others stop."""
    yield from _restarts(start)
    for number in range(_BURST_COUNT):
        at_s = start.at_s + number * _RESTART_INTERVAL_S
        yield Fault(at_s, FaultKind.configure)
        yield Fault(at_s, FaultKind.reload, hosts=start.hosts(2))


def _kill(start: SeriesStart) -> Series:
    yield Fault(start.at_s, FaultKind.kill, start.duration_s(1), start.hosts(2))


def _kill_all(start: SeriesStart) -> Series:
    hosts = tuple(range(start.plan.hosts))
    yield Fault(start.at_s, FaultKind.kill_all, start.duration_s(1), hosts)
    # The cuts make the restarted processes pass their first work on to other
    # hosts.
    yield from _isolate(start)


def _freeze(start: SeriesStart) -> Series:
    yield Fault(
        start.at_s, FaultKind.freeze, start.duration_s(4), start.hosts(2)
    )


def _reload(start: SeriesStart) -> Series:
    yield Fault(
        start.at_s, FaultKind.reload, hosts=start.hosts(_MAX_HOST_COUNT)
    )


def _configure(start: SeriesStart) -> Series:
    count = start.rng.choice((1, _BURST_COUNT))
    for number in range(count):
        yield Fault(
            start.at_s + number * _BURST_INTERVAL_S, FaultKind.configure
        )


def _store(start: SeriesStart) -> Series:
    hosts = start.hosts(3) if start.rng.random() < 1 / 2 else ()
    yield Fault(
        start.at_s,
        FaultKind.store,
        start.duration_s(4),
        hosts,
        manner=start.rng.choice(_STORE_MANNERS),
    )


def _promotion(start: SeriesStart) -> Series:
    yield Fault(
        start.at_s,
        FaultKind.promotion,
        start.duration_s(4),
        manner=start.rng.choice(_PROMOTION_MANNERS),
    )


def _lose_registrations(start: SeriesStart) -> Series:
    yield Fault(start.at_s, FaultKind.lose_registrations)


# Probability weights. Cuts weigh most, because they make hosts pass work on to
# other hosts.
_SERIES_WEIGHTS: Final[_Weights] = MappingProxyType(
    {
        _cut: 10,
        _isolate: 10,
        _cut_peers: 8,
        _member: 5,
        _freeze: 4,
        _restarts: 2,
        _stop_data_centre: 1,
        _kill: 2,
        _store: 2,
        _configure: 1,
        _promotion: 1,
        _reload: 1,
        _members_in_turn: 1,
        _drain: 1,
        _lose_registrations: 0.5,
        _kill_all: 1,
    },
)
_PLANNED_WEIGHTS: Final[_Weights] = MappingProxyType(
    {
        _restarts: 3,
        _stop_data_centre: 3,
        _stop_and_change: 2,
        _reload: 2,
        _configure: 2,
        _drain: 1,
    },
)
