"""Explores changes of primary in random orders of events.

The real decision code runs against a group in memory. Events also happen while
a change is under way: at each control request of the host, members commit, come,
go and return. A promoted member must have every acknowledged commit. Other hosts
acknowledge a commit to its caller once a witness has received it, that is, a
replica that they have known for a while and that does not leave.
"""

import random
from collections.abc import Callable
from typing import Final, final

import attrs

from features.group_builders import (
    DRAIN_S,
    GROUP,
    build_configuration,
    build_record,
    build_route,
)
from features.group_fakes import (
    FakeClaimStore,
    FakeDialer,
    FakeHostClaims,
    FakeMember,
    FakePromotions,
    FakeRegistrations,
)
from features.restart_fault import NO_RESTARTS, RestartFault, RestartFaults
from features.virtual_loop import run_virtually
from mimosapond.failover.departure_detector import DepartureDetector
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.failover.group_membership import GroupMembership
from mimosapond.failover.promoter import Promoter
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.relay_port import NoRelays

_EVENT_COUNT: Final = 14
# Share of the control requests during which another event happens.
_CONCURRENT_RATIO: Final = 0.35
# Time within which a member registers after its start, and within which its
# registration lapses after its end.
_REGISTRATION_S: Final = 3.6
_TIME_STEPS_S: Final = (0.2, 1.0, 3.0, 8.0)
# Longest time between two reads of the registrations.
_POLL_INTERVAL_S: Final = 1.5
_START_S: Final = 1000.0
_HOST_RESTART_RATIO: Final = 0.05
_CLOCK_STEP_S: Final = 0.005
_EMPTY: Final = LogPosition(0, 0)


@final
@attrs.define(eq=False)
class _Instance:
    """One member process of the group."""

    fake: FakeMember
    is_running: bool = True
    is_registered: bool = True
    leaving_since_s: float | None = None
    changed_s: float = _START_S
    is_deaf: bool = False
    # Number of its answers to control requests when it last lost its log.
    emptied_after: int | None = None

    def receives(self) -> bool:
        """Return whether it receives the commits of a primary."""
        return self.is_running and not self.is_deaf and not self.is_paused

    @property
    def is_paused(self) -> bool:
        """Whether a change of primary paused it."""
        return self.fake.paused_term > 0

    @property
    def process(self) -> MemberProcess:
        """Its present process."""
        return MemberProcess(self.fake.member_id, self.fake.born_ms or 0)

    def start_again(self) -> None:
        """Begin another process, which is not paused."""
        self.fake.paused_term = 0
        self.fake.born_ms = (self.fake.born_ms or 0) + 1


@final
class FailoverExplorer:
    """Plays one random order of events.

    Attributes
    ----------
    events
        Events in their order, for the report of a violation.
    violations
        One text for each promotion that lost an acknowledged commit.
    """

    def __init__(self, seed: int, restarts: RestartFaults) -> None:
        """Create a group with the primary p and the replicas a and b.

        Parameters
        ----------
        restarts
            Restarts that may happen, each drawn as often as a join.
        """
        self._random = random.Random(seed)
        self._restarts = restarts
        self._now_s = _START_S
        self._instances = {
            name: _Instance(FakeMember(name)) for name in ('p', 'a', 'b')
        }
        self._instances['p'].fake.is_primary = True
        self._fakes = {
            name: each.fake for name, each in self._instances.items()
        }
        self._acknowledged_number = self._instances['p'].fake.position.number
        self._is_changing = False
        self._polled_s = _START_S
        self.events: list[str] = []
        self.violations: list[str] = []
        self._registrations = FakeRegistrations(
            list(self._instances), self._build_record
        )
        self._promotions = FakePromotions(self._fakes)
        self._promotions.on_call = self._check_promotion
        self._claims = FakeClaimStore()
        self._start_host()

    async def run(self) -> None:
        """Play the events, with attempts of the host in between."""
        await self._poll()
        await self._attempt()
        self._now_s += 10
        # Most losses need a member that was replaced shortly before.
        self._leave()
        await self._poll()
        self._now_s += DRAIN_S
        for _ in range(_EVENT_COUNT):
            if self._random.random() < _HOST_RESTART_RATIO:
                self._restart_host()
            self._act()
            is_due = self._now_s - self._polled_s > _POLL_INTERVAL_S
            if is_due or self._random.randrange(2):
                await self._poll()
            await self._attempt()

    def _start_host(self) -> None:
        """Start the host, or start it again without what it knew."""
        self._directory = GroupDirectory(
            FakeDialer(self._fakes, self._maybe_act), self._now
        )
        self._directory.apply_limits(build_configuration(build_route()))
        self._poller = RegistrationPoller(self._registrations, self._directory)
        self._probe = PrimaryProbe(self._now, NoRelays())
        self._failover = FailoverCoordinator(
            FakeHostClaims(self._claims, 'host-1'),
            Promoter(self._promotions, self._probe, self._now),
            GroupMembership(
                DepartureDetector(self._directory, DRAIN_S, self._now),
                self._directory,
                self._poller,
                self._now,
            ),
            self._now,
        )

    def _restart_host(self) -> None:
        self._start_host()
        self._note('the host starts again')

    def _now(self) -> float:
        """Return the time, which also passes with each look at the clock."""
        self._now_s += _CLOCK_STEP_S
        return self._now_s

    def _build_record(self, name: str) -> MemberRecord:
        leaving_since_s = self._instances[name].leaving_since_s
        return build_record(
            name,
            is_leaving=leaving_since_s is not None,
            reports_primary=self._instances[name].fake.is_primary,
            born_ms=self._instances[name].process.born_ms or None,
        )

    async def _poll(self) -> None:
        self._polled_s = self._now_s
        await self._poller.refresh(0.1)

    async def _attempt(self) -> None:
        group = self._directory.get_or_create(GROUP)
        self._is_changing = True
        primary = next(
            (
                member
                for name, member in group.members.items()
                if self._fakes[name].is_primary
                and not self._fakes[name].is_silent
            ),
            None,
        )
        if primary is not None:
            # A host knows a primary because it was seen to lead.
            await self._probe.ask(group, primary)
            await self._failover.roster.update(group)
        if primary is None:
            await self._failover.replace_lost_primary(group)
        elif primary.record.is_leaving:
            await self._failover.hand_over(group, primary)
        else:
            await self._failover.replace_stalled_primary(group, primary)
        self._is_changing = False

    def _maybe_act(self) -> None:
        if self._is_changing and self._random.random() < _CONCURRENT_RATIO:
            self._act()

    def _act(self) -> None:
        restarts = {
            RestartFault.host: self._restart_host,
            RestartFault.replica: self._restart_replica,
            RestartFault.empty_replica: self._empty_replica,
        }
        choices: tuple[tuple[Callable[[], None], int], ...] = (
            (self._commit, 5),
            (self._pass_time, 2),
            (self._crash, 1),
            (self._restart, 1),
            (self._leave, 2),
            (self._toggle_cut, 2),
            (self._join, 1),
            (self._toggle_deafness, 1),
            (self._toggle_store, 1),
            *(
                (restarts[each], 1)
                for each in RestartFault
                if each in self._restarts
            ),
        )
        actions, weights = zip(*choices, strict=True)
        self._random.choices(actions, weights)[0]()

    def _running(self) -> list[_Instance]:
        return [each for each in self._instances.values() if each.is_running]

    def _commit(self) -> None:
        """Commit at the primary; replicas that are not paused may receive."""
        primary = next(
            (each for each in self._running() if each.fake.is_primary), None
        )
        if primary is None:
            return
        position = primary.fake.position
        position = LogPosition(position.term, position.number + 1)
        primary.fake.position = position
        receivers = [
            each
            for each in self._running()
            if each is not primary and each.receives()
        ]
        if not receivers:
            return
        count = self._random.choice((1, 1, len(receivers)))
        chosen = self._random.sample(receivers, count)
        for receiver in chosen:
            receiver.fake.position = position
        names = [each.fake.member_id for each in chosen]
        self._note(f'commit {position.number} at {names}')
        if any(self._is_witness(each) for each in chosen):
            self._acknowledged_number = position.number

    def _pass_time(self) -> None:
        """Advance the clock; replicas catch up, registrations come and go."""
        step_s = self._random.choice(_TIME_STEPS_S)
        self._now_s += step_s
        self._note(f'{step_s} s pass')
        self._catch_up()
        for name, each in tuple(self._instances.items()):
            if self._now_s - each.changed_s > _REGISTRATION_S:
                each.is_registered = each.is_running
            leaving_s = each.leaving_since_s
            is_over = (
                leaving_s is not None and self._now_s - leaving_s > DRAIN_S
            )
            if is_over and each.is_running:
                self._replace(name, each)
        self._list_registered()

    def _is_witness(self, each: _Instance) -> bool:
        """Return whether the other hosts acknowledge what a member has."""
        is_leaving = each.leaving_since_s is not None
        return not is_leaving and self._claims.record.has_witness(each.process)

    def _catch_up(self) -> None:
        primary = next(
            (each for each in self._running() if each.fake.is_primary), None
        )
        if primary is None:
            return
        for each in self._running():
            if each.receives():
                each.fake.position = primary.fake.position

    def _replace(self, name: str, each: _Instance) -> None:
        """End a leaving member; its successor starts with its log."""
        if each.fake.is_primary:
            return
        each.is_running = False
        each.is_registered = False
        each.fake.is_silent = True
        successor = FakeMember(f'{name}x', position=each.fake.position)
        self._fakes[successor.member_id] = successor
        self._instances[successor.member_id] = _Instance(
            successor,
            is_registered=False,
            changed_s=self._now_s,
        )
        self._note(f'{name} is replaced by {name}x')

    def _crash(self) -> None:
        """Stop a member, unless another one is down already."""
        if len(self._running()) < 3:
            return
        each = self._random.choice(self._running())
        each.is_running = False
        each.fake.is_silent = True
        each.changed_s = self._now_s
        self._note(f'{each.fake.member_id} crashes')

    def _restart(self) -> None:
        """Start a crashed member again with its log, as a replica."""
        for name, each in self._instances.items():
            if not each.is_running and each.leaving_since_s is None:
                each.is_running = True
                each.fake.is_silent = False
                each.start_again()
                if not each.is_registered:
                    each.changed_s = self._now_s
                others = [
                    other
                    for other in self._running()
                    if other is not each and other.fake.is_primary
                ]
                each.fake.is_primary = each.fake.is_primary and not others
                self._note(f'{name} is back')
                return

    def _restart_replica(self) -> None:
        """Start a running replica again with its log."""
        each = self._random.choice(self._running_replicas())
        each.start_again()
        self._note(f'{each.fake.member_id} starts again')

    def _empty_replica(self) -> None:
        """Start a replica again under its id without its log.

        Not one that alone has an acknowledged commit, of those that run: no host
        can prevent that, and one that crashed may never be back.
        """
        each = self._random.choice(self._running_replicas())
        kept = max(
            (
                other.fake.position.number
                for other in self._running()
                if other is not each and other.leaving_since_s is None
            ),
            default=0,
        )
        if kept < self._acknowledged_number:
            return
        each.start_again()
        each.fake.position = _EMPTY
        each.emptied_after = each.fake.control_answer_count
        self._note(f'{each.fake.member_id} starts again without its log')

    def _running_replicas(self) -> list[_Instance]:
        return [each for each in self._running() if not each.fake.is_primary]

    def _leave(self) -> None:
        """Let a member announce that it leaves; one at a time."""
        leaving = [
            each for each in self._running() if each.leaving_since_s is not None
        ]
        if leaving or len(self._running()) < 3:
            return
        each = self._random.choice(self._running())
        each.leaving_since_s = self._now_s
        self._note(f'{each.fake.member_id} leaves')

    def _join(self) -> None:
        """Start a further member, which receives before it is registered."""
        if len(self._running()) > 3:
            return
        name = f'n{len(self._instances)}'
        primary = next(
            (each for each in self._running() if each.fake.is_primary), None
        )
        if primary is None:
            return
        self._fakes[name] = FakeMember(name, position=primary.fake.position)
        self._instances[name] = _Instance(
            self._fakes[name],
            is_registered=False,
            changed_s=self._now_s,
        )
        self._note(f'{name} joins')

    def _toggle_deafness(self) -> None:
        """Let a replica receive nothing for a while, or end that."""
        each = self._random.choice(self._running())
        each.is_deaf = not each.is_deaf
        self._note(f'{each.fake.member_id} receives: {not each.is_deaf}')

    def _toggle_store(self) -> None:
        """Keep the registrations from the host, or end that."""
        is_silent = not self._registrations.is_silent
        self._registrations.is_silent = is_silent
        self._note(f'store silent: {is_silent}')

    def _toggle_cut(self) -> None:
        """Cut a running member off from the host, or end that."""
        each = self._random.choice(self._running())
        each.fake.is_silent = not each.fake.is_silent
        self._note(f'{each.fake.member_id} silent: {each.fake.is_silent}')

    def _check_promotion(self) -> None:
        name, _ = self._promotions.calls[-1]
        chosen = self._fakes[name]
        self._note(f'promote {name} at {chosen.position}')
        if chosen.is_primary:
            return
        # Nobody can know of a log that was lost after the last answer.
        is_lost_unseen = (
            self._instances[name].emptied_after == chosen.control_answer_count
        )
        if (
            chosen.position.number < self._acknowledged_number
            and not is_lost_unseen
        ):
            self.violations.append(
                f'{name} at {chosen.position} lacks '
                f'{self._acknowledged_number}: {self.events}'
            )
        for each in self._running():
            number = min(each.fake.position.number, chosen.position.number)
            term = each.fake.position.term
            each.fake.position = LogPosition(term, number)
        self._acknowledged_number = chosen.position.number

    def _list_registered(self) -> None:
        self._registrations.names = [
            name for name, each in self._instances.items() if each.is_registered
        ]

    def _note(self, event: str) -> None:
        self._list_registered()
        self.events.append(f'{self._now_s - _START_S:.1f} {event}')


def explore(
    first_seed: int, count: int, restarts: RestartFaults = NO_RESTARTS
) -> list[str]:
    """Play orders of events and return all violations, with their seeds."""
    found: list[str] = []
    for seed in range(first_seed, first_seed + count):
        explorer = FailoverExplorer(seed, restarts)
        run_virtually(explorer.run())
        found.extend(f'seed {seed}: {each}' for each in explorer.violations)
    return found
