"""Explores acknowledged commits beside changes of primary in random orders.

The real ``CommitWitnesses`` of a host run against a group in memory. Another
host changes the primary meanwhile: it pauses the members that it knows, and the
most advanced one leads some time later. Each commit that was confirmed has to be
in the log with which every later term begins. Hosts and replicas may start again
meanwhile.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeAlias, final

import attrs

from features.group_builders import (
    GROUP,
    build_configuration,
    build_record,
    build_route,
    record_all_witnesses,
)
from features.group_fakes import FakeDialer, FakeMember
from features.restart_fault import NO_RESTARTS, RestartFault, RestartFaults
from features.virtual_loop import run_virtually
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.group_record import GroupRecord
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member import Member
from mimosapond.routing.commit_witnesses import CommitWitnesses, Confirmation

_Log: TypeAlias = list[LogPosition]

_EVENT_COUNT: Final = 40
_MAX_MEMBER_COUNT: Final = 5
# Time between two events; some are at the same time.
_STEPS_S: Final = (0, 0.002, 0.02, 0.3)
# Time until a promotion takes effect, and time in which a commit is confirmed.
_EFFECT_S: Final = (0.01, 0.3, 1.0)
_CONFIRM_S: Final = 0.8
_EMPTY: Final = LogPosition(0, 0)
_FIRST: Final = LogPosition(1, 1)


@final
@attrs.define(eq=False)
class _Instance:
    """One member with its whole log."""

    fake: FakeMember
    log: _Log
    # Start of its process.
    born_ms: int = 1
    # Whether the host that changes the primary knows it.
    is_known: bool = True

    def receive(self, log: _Log) -> None:
        """Adopt the log of a primary."""
        self.log = list(log)
        self.fake.position = log[-1]


@final
class WitnessExplorer:
    """Plays one random order of events.

    Attributes
    ----------
    violations
        One text for each term that began without a confirmed commit, and for
        each commit that was confirmed after it had been rolled back.
    """

    def __init__(self, seed: int, restarts: RestartFaults) -> None:
        """Create a group with the primary p and the witnesses a and b.

        Parameters
        ----------
        restarts
            Restarts that may happen, each drawn as often as a join.
        """
        self._random = random.Random(seed)
        self._restarts = restarts
        self._instances = {
            name: _Instance(FakeMember(name, position=_FIRST), [_EMPTY, _FIRST])
            for name in ('p', 'a', 'b')
        }
        self._fakes = {
            name: each.fake for name, each in self._instances.items()
        }
        self._primary = self._instances['p']
        self._term = 1
        self._is_changing = False
        # What the store keeps about the group.
        self._record: GroupRecord | None = None
        # The member whose promotion has not taken effect.
        self._chosen: _Instance | None = None
        self._confirmed: list[LogPosition] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._confirmations: set[asyncio.Task[None]] = set()
        self._events: list[str] = []
        self.violations: list[str] = []

    async def run(self) -> None:
        """Play the events, and wait for all answers."""
        self._now = asyncio.get_running_loop().time
        self._start_host()
        record_all_witnesses(self._directory)
        self._record = self._directory.get_or_create(GROUP).record
        for _ in range(_EVENT_COUNT):
            self._act()
            await asyncio.sleep(self._random.choice(_STEPS_S))
        await asyncio.sleep(max(_EFFECT_S) + _CONFIRM_S + 1)

    async def is_none_pending(self, group: Group, primary: Member) -> bool:
        """Return whether no lead is pending or newer; see ``ChangeCheck``."""
        is_primary = primary.member_id == self._primary.fake.member_id
        return is_primary and not self._is_changing

    async def is_settled(
        self, group: Group, primary: Member, term: int
    ) -> bool:
        """Return True, as this platform carries out calls in their order."""
        return True

    def _start_host(self) -> None:
        """Start the acknowledging host, or start it again."""
        for each in self._confirmations:
            each.cancel()
        self._confirmations.clear()
        self._directory = GroupDirectory(FakeDialer(self._fakes), self._now)
        self._directory.apply_limits(build_configuration(build_route()))
        self._list_members()
        group = self._directory.get_or_create(GROUP)
        group.needs_replica = True
        group.record = self._record
        self._witnesses = CommitWitnesses(self._now, self)

    def _act(self) -> None:
        restarts = {
            RestartFault.host: self._restart_host,
            RestartFault.replica: self._restart_replica,
            RestartFault.empty_replica: self._empty_replica,
        }
        choices: tuple[tuple[Callable[[], None], int], ...] = (
            (self._commit, 6),
            (self._replicate, 4),
            (self._change_primary, 2),
            (self._join, 1),
            (self._toggle_silence, 1),
            (self._list_members, 1),
            *(
                (restarts[each], 1)
                for each in RestartFault
                if each in self._restarts
            ),
        )
        actions, weights = zip(*choices, strict=True)
        self._random.choices(actions, weights)[0]()

    def _commit(self) -> None:
        """Commit at the primary; it acknowledges once a replica has it."""
        position = LogPosition(self._term, self._primary.log[-1].number + 1)
        self._primary.receive([*self._primary.log, position])
        receivers = self._receivers()
        if not receivers:
            return
        receiver = self._random.choice(receivers)
        receiver.receive(self._primary.log)
        self._note(f'{position} at {receiver.fake.member_id}')
        self._confirmations.add(
            self._start(self._confirm(self._primary, position))
        )

    async def _confirm(self, primary: _Instance, position: LogPosition) -> None:
        group = self._directory.get_or_create(GROUP)
        confirmation = await self._witnesses.confirm(
            group,
            group.members[primary.fake.member_id],
            position,
            self._now() + _CONFIRM_S,
        )
        if confirmation is not Confirmation.witnessed:
            return
        self._note(f'{position} is confirmed')
        self._confirmed.append(position)
        if position not in self._primary.log:
            self._violate(f'{position} was rolled back')

    def _replicate(self) -> None:
        """Let one replica catch up, if any receives."""
        receivers = self._receivers()
        if receivers:
            self._random.choice(receivers).receive(self._primary.log)

    def _receivers(self) -> list[_Instance]:
        return [each for each in self._replicas() if not each.fake.paused_term]

    def _replicas(self) -> list[_Instance]:
        return [
            each
            for each in self._instances.values()
            if each is not self._primary
        ]

    def _change_primary(self) -> None:
        """Pause all known members, and promote if only the primary is silent."""
        if self._is_changing:
            return
        known = [
            each
            for each in self._instances.values()
            if each.is_known and each is not self._primary
        ]
        if any(each.fake.is_silent for each in known):
            return
        if not all(self._is_as_recorded(each) for each in known):
            return
        for member in known:
            member.fake.paused_term = self._term + 1
        chosen = max(known, key=lambda each: each.fake.position)
        self._note(f'promote {chosen.fake.member_id} from {chosen.log[-1]}')
        self._is_changing = True
        self._chosen = chosen
        self._start(self._lead(chosen, self._random.choice(_EFFECT_S)))

    def _is_as_recorded(self, instance: _Instance) -> bool:
        """Return whether a member is no witness, or has not started again."""
        witnesses = self._record.witnesses if self._record else None
        recorded = {each.member_id: each for each in witnesses or ()}
        process = recorded.get(instance.fake.member_id)
        return process is None or process.born_ms == instance.born_ms

    async def _lead(self, chosen: _Instance, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._is_changing = False
        self._chosen = None
        self._term += 1
        self._primary = chosen
        for each in self._instances.values():
            self._follow(each, chosen)
        self._list_members()
        self._note(f'{chosen.fake.member_id} leads term {self._term}')
        for position in self._confirmed:
            if position not in chosen.log:
                self._violate(f'term {self._term} lacks {position}')

    def _follow(self, member: _Instance, chosen: _Instance) -> None:
        """Enter the new term; what the primary lacks is rolled back."""
        member.fake.is_primary = member is chosen
        member.fake.empty_term = self._term
        member.fake.paused_term = 0
        if member.log != chosen.log[: len(member.log)]:
            member.receive(chosen.log)

    def _join(self) -> None:
        """Start a member, which the changing host may not know yet."""
        name = f'n{len(self._instances)}'
        if len(self._instances) >= _MAX_MEMBER_COUNT:
            return
        joined = _Instance(
            FakeMember(name, position=self._primary.log[-1]),
            list(self._primary.log),
            is_known=self._random.random() < 1 / 2,
        )
        self._instances[name] = joined
        self._fakes[name] = joined.fake
        self._note(f'{name} joins')
        if self._random.random() < 1 / 2:
            self._list_members()

    def _toggle_silence(self) -> None:
        """Cut a replica off from the hosts, or end that."""
        each = self._random.choice(self._receivers() or [self._primary])
        each.fake.is_silent = not each.fake.is_silent

    def _restart_host(self) -> None:
        """Start the acknowledging host again; its callers get no answers."""
        self._start_host()
        self._note('the host starts again')

    def _restart_replica(self) -> None:
        """Start a replica again with its log."""
        each = self._random.choice(self._replicas())
        self._start_process(each)
        self._note(f'{each.fake.member_id} starts again')

    def _empty_replica(self) -> None:
        """Start a replica again under its id without its log.

        Not one that is about to lead: nothing withdraws an accepted promotion.
        """
        each = self._random.choice(
            [each for each in self._replicas() if each is not self._chosen]
        )
        self._start_process(each)
        each.receive([_EMPTY])
        self._note(f'{each.fake.member_id} starts again without its log')

    def _start_process(self, instance: _Instance) -> None:
        """Start a process of a member, which may register some time later.

        The connections to its former process get no more answers.
        """
        former = instance.fake
        instance.fake = attrs.evolve(former, paused_term=0)
        former.is_silent = True
        self._fakes[former.member_id] = instance.fake
        instance.born_ms += 1
        if self._random.random() < 1 / 2:
            self._list_members()

    def _list_members(self) -> None:
        self._directory.apply_registrations(
            [
                attrs.evolve(build_record(name), born_ms=each.born_ms)
                for name, each in self._instances.items()
            ]
        )

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task

    def _note(self, event: str) -> None:
        self._events.append(f'{self._now():.3f} {event}')

    def _violate(self, text: str) -> None:
        self.violations.append(f'{text}: {self._events}')


def explore(
    first_seed: int, count: int, restarts: RestartFaults = NO_RESTARTS
) -> list[str]:
    """Play orders of events and return all violations, with their seeds."""
    found: list[str] = []
    for seed in range(first_seed, first_seed + count):
        explorer = WitnessExplorer(seed, restarts)
        run_virtually(explorer.run())
        found.extend(f'seed {seed}: {each}' for each in explorer.violations)
    return found
