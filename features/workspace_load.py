"""A group under the load of many workspaces, with and without affinity.

The load is that of docs/design/uneven-load.md for one of four groups.
"""

import asyncio
import random
from collections.abc import Callable, Iterator
from typing import Final, final

import attrs

from features.group_builders import GROUP, build_configuration, build_record
from features.group_builders import build_route
from features.holder_builders import HostView, build_peers, build_view
from features.virtual_loop import run_virtually
from features.workspace_connection_builders import CountingMember
from mimosapond.configuration.configuration import GroupLimits
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import Completed
from mimosapond.groups.member_record import MemberRecord
from mimosapond.peers.peer import Peer
from mimosapond.routing.member_selector import MemberSelector
from mimosapond.statements.reply import SessionState

_HOST_COUNT: Final = 73
_CENTRE_COUNT: Final = 3
_CONNECTION_COUNT: Final = 60
_WORKSPACE_COUNT: Final = 79
_ZIPF_EXPONENT: Final = 1.2
_MEMBERS: Final = ('m1', 'm2', 'm3')
_POSITION: Final = LogPosition(1, 10)
_START_S: Final = 5.0
_WARM_S: Final = 20.0
_END_S: Final = 80.0
_WAIT_S: Final = 1.0
_TRIM_S: Final = 0.1
_KEPT_IDLE_S: Final = 30.0
_KEPT_COUNT: Final = 1


@final
@attrs.frozen
class Kind:
    """Statements of one kind: their rate, time and place."""

    rate_per_s: float
    duration_s: float
    is_primary: bool
    priority: int


_GROUP_COUNT: Final = 4
_KINDS: Final = (
    Kind(72.5 / _GROUP_COUNT, 0.008, is_primary=True, priority=0),
    Kind(126 / _GROUP_COUNT, 0.04, is_primary=False, priority=2),
    Kind(340 * 0.88 / _GROUP_COUNT, 0.024, is_primary=False, priority=1),
    Kind(340 * 0.12 / _GROUP_COUNT, 0.024, is_primary=True, priority=1),
)
_Choice = Callable[[HostView, str, float], str]


@final
@attrs.define
class LoadResult:
    """What was counted after the warm-up."""

    statement_count: int = 0
    refused_count: int = 0
    dial_count: int = 0

    @property
    def dials_per_hundred(self) -> float:
        """New connections for a hundred statements."""
        return 100 * self.dial_count / self.statement_count


@final
class _Dialer:
    """Opens connections to the members by their ids."""

    def __init__(self) -> None:
        self.members = {name: CountingMember() for name in _MEMBERS}

    @property
    def dial_count(self) -> int:
        """Attempts at all members."""
        return sum(len(member.attempts) for member in self.members.values())

    async def dial(self, record: MemberRecord, workspace: str = '') -> object:
        """Open a connection to the member of a record."""
        return await self.members[record.member_id].dial(record, workspace)


def by_entry_host(view: HostView, workspace: str, ratio: float) -> str:
    """Choose a holder as for work without a workspace."""
    if view.holders.holds(GROUP):
        return view.own.host
    return view.holders.candidates(GROUP)[0].host


def by_workspace(view: HostView, workspace: str, ratio: float) -> str:
    """Choose a holder by the workspace."""
    peers = view.holders.workspace_candidates(GROUP, workspace, ratio)
    return peers[0].host if peers else view.own.host


@final
class _System:
    """The hosts of a system, of which holders have pools."""

    def __init__(self, hosts: list[Peer], dialer: _Dialer) -> None:
        loop = asyncio.get_running_loop()
        self.views = [build_view(host, hosts) for host in hosts]
        self.directories: dict[str, GroupDirectory] = {}
        self.selectors: dict[str, MemberSelector] = {}
        configuration = attrs.evolve(
            build_configuration(build_route()),
            groups={GROUP: GroupLimits(GROUP, _CONNECTION_COUNT)},
        )
        for view in self.views:
            directory = GroupDirectory(dialer, loop.time, view.holders)
            directory.apply_limits(configuration)
            directory.apply_registrations(map(build_record, _MEMBERS))
            self.directories[view.own.host] = directory
            self.selectors[view.own.host] = MemberSelector(
                view.own.data_centre, loop.time
            )

    def update(self) -> None:
        """Adopt the limits, and close connections that are idle for long."""
        for directory in self.directories.values():
            directory.update_pool_limits()
            for member in directory.groups[GROUP].members.values():
                member.pool.trim(_KEPT_COUNT, _KEPT_IDLE_S)

    def choose_member(self, host: str, kind: Kind, workspace: str) -> Member:
        """Choose the first member as primary, or one for a read."""
        group = self.directories[host].groups[GROUP]
        primary = group.members[_MEMBERS[0]]
        if kind.is_primary:
            return primary
        group.confirm_primary(
            primary, asyncio.get_running_loop().time(), _POSITION
        )
        chosen = self.selectors[host].choose(group, _POSITION, (), workspace)
        assert chosen is not None
        return chosen


async def _answer(duration_s: float) -> Completed:
    await asyncio.sleep(duration_s)
    return Completed((), 'signed', SessionState.idle, _POSITION)


async def _run(
    member: Member, kind: Kind, workspace: str, result: LoadResult
) -> None:
    lease = await member.pool.borrow(kind.priority, _WAIT_S, {}, workspace)
    if not isinstance(lease, ConnectionLease):
        result.refused_count += 1
        return
    assert lease.link.workspace == workspace
    await lease.ask(_answer(kind.duration_s))
    lease.release()


def _arrivals(rng: random.Random) -> Iterator[tuple[float, Kind]]:
    rates = [kind.rate_per_s for kind in _KINDS]
    now_s: float = 0
    while now_s < _END_S:
        now_s += rng.expovariate(sum(rates))
        yield now_s, rng.choices(_KINDS, rates)[0]


@final
class _LoadRun:
    """Statements that arrive at random hosts."""

    def __init__(self, choose: _Choice, rng: random.Random) -> None:
        self._choose = choose
        self._rng = rng
        self._dialer = _Dialer()
        self._system = _System(
            build_peers(_HOST_COUNT, _CENTRE_COUNT), self._dialer
        )
        self._weights = [
            1 / rank**_ZIPF_EXPONENT for rank in range(1, _WORKSPACE_COUNT + 1)
        ]
        self._result = LoadResult()
        self._tasks: list[asyncio.Task[None]] = []
        self._warm_dial_count = 0

    async def run(self) -> LoadResult:
        """Run all statements, and count those after the warm-up."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(_START_S)
        updated_s: float = 0
        for arrival_s, kind in _arrivals(self._rng):
            await asyncio.sleep(_START_S + arrival_s - loop.time())
            if arrival_s - updated_s > _TRIM_S:
                self._system.update()
                updated_s = arrival_s
            self._count(is_warm=arrival_s >= _WARM_S)
            self._start(kind)
        await asyncio.gather(*self._tasks)
        self._result.dial_count = (
            self._dialer.dial_count - self._warm_dial_count
        )
        return self._result

    def _count(self, *, is_warm: bool) -> None:
        if is_warm:
            self._result.statement_count += 1
        else:
            self._warm_dial_count = self._dialer.dial_count

    def _start(self, kind: Kind) -> None:
        numbers = range(_WORKSPACE_COUNT)
        number = self._rng.choices(numbers, self._weights)[0]
        workspace = f'workspace-{number}'
        ratio = self._weights[number] / sum(self._weights)
        view = self._rng.choice(self._system.views)
        host = self._choose(view, workspace, ratio)
        member = self._system.choose_member(host, kind, workspace)
        run = _run(member, kind, workspace, self._result)
        self._tasks.append(asyncio.create_task(run))


async def _run_load(choose: _Choice, seed: int) -> LoadResult:
    return await _LoadRun(choose, random.Random(seed)).run()


def run_load(choose: _Choice, seed: int) -> LoadResult:
    """Run the load in virtual time and count new connections."""
    return run_virtually(_run_load(choose, seed))
