"""Draws the faults of a live test; the same seed gives the same ones.

Faults come in series, and series overlap: two of them start about each second.
"""

import random
from collections.abc import Callable, Iterator, Mapping
from types import MappingProxyType
from typing import Final, TypeAlias, final

import attrs

from soak.fault import Fault, FaultKind
from soak.layout import MEMBER_COUNT
from soak.plan import SoakPlan

_CALM_START_S: Final = 2.0
_CALM_END_S: Final = 3.0
_MEAN_PAUSE_S: Final = 0.5
_STORE_MANNERS: Final = (
    'refuses',
    'silent',
    'loses_answers',
    'applies_late',
    'slow',
    'forgets_history',
)
_CALL_MANNERS: Final = _STORE_MANNERS[:5]
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
_WINDOW_RATIOS: Final = (0.05, 0.2, 0.6)
_SERIES_COUNT: Final = 4
_SERIES_STEP_S: Final = 0.7
# A little longer than hosts are told that a leaving member serves.
_DRAIN_S: Final = 7.5
# Too short for anything but the end of open connections.
_RESET_S: Final = 0.05
_STORM_COUNT: Final = 8
_STORM_STEP_S: Final = 0.1

_Series: TypeAlias = Iterator[Fault]


@final
@attrs.frozen
class _Draw:
    """Source of the numbers of one series that starts at a moment."""

    plan: SoakPlan
    source: random.Random
    at_s: float

    def hosts(self, most: int) -> tuple[int, ...]:
        count = self.source.randint(1, min(most, self.plan.hosts))
        return tuple(self.source.sample(range(self.plan.hosts), count))

    def member(self) -> tuple[int, int]:
        return (
            self.source.randrange(self.plan.groups),
            self.source.randrange(MEMBER_COUNT),
        )

    def time_s(self, most_s: float) -> float:
        return self.source.uniform(most_s / 10, most_s)


def build_schedule(plan: SoakPlan) -> list[Fault]:
    """Return the faults in order of time."""
    source = random.Random(f'faults {plan.seed}')
    found: list[Fault] = []
    at_s = _CALM_START_S
    end_s = plan.duration_s - _CALM_END_S
    kinds, weights = tuple(_SERIES), tuple(_SERIES.values())
    while at_s < end_s:
        series = source.choices(kinds, weights)[0]
        found.extend(series(_Draw(plan, source, at_s)))
        at_s += source.expovariate(1 / _MEAN_PAUSE_S)
    kept = [fault for fault in found if fault.at_s < end_s]
    return sorted(kept, key=lambda fault: fault.at_s)


def _cut(draw: _Draw) -> _Series:
    """Cut some hosts off from a member or two of a group."""
    group, first = draw.member()
    members = [(group, first)]
    if draw.source.random() < 1 / 2:
        members.append((group, (first + 1) % MEMBER_COUNT))
    yield Fault(
        draw.at_s,
        FaultKind.cut,
        draw.time_s(4),
        draw.hosts(draw.plan.hosts // 2),
        tuple(members),
        draw.source.choice(_CUT_MANNERS),
    )


def _isolate(draw: _Draw) -> _Series:
    """Cut half of the hosts off from the same member of all groups."""
    hosts = draw.source.sample(range(draw.plan.hosts), draw.plan.hosts // 2)
    member = draw.member()[1]
    yield Fault(
        draw.at_s,
        FaultKind.cut,
        draw.time_s(4),
        tuple(hosts),
        tuple((group, member) for group in range(draw.plan.groups)),
        draw.source.choice(_CUT_MANNERS),
    )


def _cut_peers(draw: _Draw) -> _Series:
    """Reset connections between hosts, or cut some of them off for a time."""
    hosts = draw.source.sample(
        range(draw.plan.hosts), max(2, draw.plan.hosts // 2)
    )
    yield Fault(
        draw.at_s,
        FaultKind.peer_cut,
        draw.source.choice((_RESET_S, draw.time_s(2))),
        tuple(hosts),
        manner=draw.source.choice(_CUT_MANNERS),
    )


def _member(draw: _Draw) -> _Series:
    yield Fault(
        draw.at_s,
        FaultKind.member,
        draw.time_s(4),
        members=(draw.member(),),
        manner=draw.source.choice(_MEMBER_MANNERS),
        ratio=draw.source.choice(_WINDOW_RATIOS),
    )


def _drain(draw: _Draw) -> _Series:
    """Let a member leave with notice; a new one takes its address."""
    yield Fault(
        draw.at_s,
        FaultKind.member,
        _DRAIN_S,
        members=(draw.member(),),
        manner='drain',
    )


def _members_in_turn(draw: _Draw) -> _Series:
    """Crash the members of a group one after another."""
    group, first = draw.member()
    for number in range(MEMBER_COUNT):
        yield Fault(
            draw.at_s + 3 * number,
            FaultKind.member,
            2,
            members=((group, (first + number) % MEMBER_COUNT),),
            manner='crash',
        )


def _restarts(draw: _Draw) -> _Series:
    for number, host in enumerate(draw.hosts(_SERIES_COUNT)):
        at_s = draw.at_s + number * _SERIES_STEP_S
        yield Fault(at_s, FaultKind.restart, draw.time_s(1), (host,))


def _kill(draw: _Draw) -> _Series:
    yield Fault(draw.at_s, FaultKind.kill, draw.time_s(1), draw.hosts(2))


def _kill_all(draw: _Draw) -> _Series:
    hosts = tuple(range(draw.plan.hosts))
    yield Fault(draw.at_s, FaultKind.kill_all, draw.time_s(1), hosts)
    # The first work of new processes is then passed on to others.
    yield from _isolate(draw)


def _freeze(draw: _Draw) -> _Series:
    yield Fault(draw.at_s, FaultKind.freeze, draw.time_s(4), draw.hosts(2))


def _reload(draw: _Draw) -> _Series:
    yield Fault(draw.at_s, FaultKind.reload, hosts=draw.hosts(_SERIES_COUNT))


def _configure(draw: _Draw) -> _Series:
    count = draw.source.choice((1, _STORM_COUNT))
    for number in range(count):
        yield Fault(draw.at_s + number * _STORM_STEP_S, FaultKind.configure)


def _store(draw: _Draw) -> _Series:
    hosts = draw.hosts(3) if draw.source.random() < 1 / 2 else ()
    yield Fault(
        draw.at_s,
        FaultKind.store,
        draw.time_s(4),
        hosts,
        manner=draw.source.choice(_STORE_MANNERS),
    )


def _promotion(draw: _Draw) -> _Series:
    yield Fault(
        draw.at_s,
        FaultKind.promotion,
        draw.time_s(4),
        manner=draw.source.choice(_CALL_MANNERS),
    )


def _lose_registrations(draw: _Draw) -> _Series:
    yield Fault(draw.at_s, FaultKind.lose_registrations)


# Cuts of single hosts weigh most: by them hosts pass work on to others.
_SERIES: Final[Mapping[Callable[[_Draw], _Series], float]] = MappingProxyType(
    {
        _cut: 10,
        _isolate: 10,
        _cut_peers: 8,
        _member: 5,
        _freeze: 4,
        _restarts: 2,
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
