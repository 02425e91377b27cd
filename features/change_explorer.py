"""Explores changes of primary beside acknowledged commits, as a whole.

Two hosts with the real code change the primary of a group in memory, and a third
one with the real ``CommitWitnesses`` confirms commits. Each commit that was
confirmed has to be in the log with which every later term begins.
"""

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from typing import Any, Final, final

from features.change_fault import ALL_FAULTS, ChangeFault, ChangeFaults
from features.change_group import ChangeGroup
from features.change_hosts import ChangingHost, ConfirmingHost, HostView
from features.change_platform import ChangePromotions, ChangeStore
from features.change_process import EMPTY, Process, born_ms
from features.group_builders import DRAIN_S
from features.virtual_loop import run_virtually
from mimosapond.groups.log_position import LogPosition

_EVENT_COUNT: Final = 80
_MIN_MEMBER_COUNT: Final = 3
_MAX_MEMBER_COUNT: Final = 5
# Time after which all hosts know the group and all members are witnesses.
_WARM_UP_S: Final = 12.0
# Time after the last event in which late calls are carried out.
_COOL_DOWN_S: Final = 14.0
_STEPS_S: Final = (0, 0.005, 0.05, 0.3, 1.0, 3.0)
# Time between two events while a promotion has not taken effect.
_SHORT_STEPS_S: Final = (0, 0.005, 0.02, 0.05)
_DOWN_S: Final = (0, 0.3, 1.0, 4.0, 8.0)
_CONFIRM_S: Final = 1.5
_ACKNOWLEDGE_POLL_S: Final = 0.01
# Time between two looks of a host for the primary; it may be slow for a while.
_WATCHES_S: Final = (0.15, 0.15, 0.3, 0.6, 4.0)
# Age of a write without an answer from which a host takes the primary as stalled.
_STALLED_WRITE_S: Final = 0.5
_CONFIRMING: Final = 'confirming'


@final
class ChangeExplorer:
    """Plays one random order of events."""

    def __init__(self, seed: int, faults: ChangeFaults) -> None:
        """Create an order; the seed decides it with the kinds of events."""
        self._random = random.Random(seed)
        # The code under test draws its delays from the shared generator.
        random.seed(seed)
        self._faults = faults
        self._tasks: set[asyncio.Task[None]] = set()
        self._host_tasks: dict[str, list[asyncio.Task[None]]] = {}
        # Whether hosts look for the primary; not before all know the group.
        self._is_watched = False
        self._confirmations: set[asyncio.Task[None]] = set()
        # Commits without an acknowledgement, and the times of their requests.
        self._waiting: dict[LogPosition, float] = {}

    async def run(self) -> list[str]:
        """Play the events and return the violations."""
        self._now = asyncio.get_running_loop().time
        self._group = ChangeGroup(
            self._random,
            self._now,
            ends_all_pauses=ChangeFault.ending_pauses in self._faults,
        )
        self._store = ChangeStore(self._now)
        self._promotions = ChangePromotions(
            self._group,
            self._random,
            are_late=ChangeFault.late_promotion in self._faults,
            are_lost=ChangeFault.lost_calls in self._faults,
        )
        self._start(self._group.run())
        self._start_hosts()
        await asyncio.sleep(_WARM_UP_S)
        self._is_watched = True
        for _ in range(_EVENT_COUNT):
            self._act()
            steps_s = _STEPS_S
            if self._promotions.pending_ids:
                steps_s = _SHORT_STEPS_S
            await asyncio.sleep(self._random.choice(steps_s))
        await asyncio.sleep(_COOL_DOWN_S)
        return self._group.violations

    def _start_hosts(self) -> None:
        self._names = ['host-1']
        if ChangeFault.second_host in self._faults:
            self._names.append('host-2')
        for name in self._names:
            self._start_changing(name)
        self._restart_host()

    def _start_changing(self, name: str) -> None:
        """Start a host that changes the primary, or start it again."""
        host = ChangingHost(self._view(name), self._promotions, self._now)
        self._replace_work(name, host.run(), self._watch(host))

    def _replace_work(
        self, name: str, *works: Coroutine[Any, Any, None]
    ) -> None:
        """End the tasks of the former process of a host, and start others."""
        for each in self._host_tasks.get(name, ()):
            each.cancel()
        self._host_tasks[name] = [self._start(work) for work in works]

    def _view(self, name: str) -> HostView:
        return HostView(
            name,
            self._group,
            self._store,
            self._random,
            self._now,
            resumes_late=ChangeFault.late_resumes in self._faults,
        )

    def _act(self) -> None:
        events: tuple[tuple[Callable[[], None], int], ...] = (
            (self._commit, 8),
            (self._replicate, 2),
            (self._crash_primary, 2),
            (self._cut, 2),
            (self._toggle_deafness, 2),
            (self._join, 1),
            *self._fault_events(),
        )
        actions, weights = zip(*events, strict=True)
        self._random.choices(actions, weights)[0]()

    def _fault_events(self) -> list[tuple[Callable[[], None], int]]:
        events = {
            ChangeFault.host_restart: self._restart_host,
            ChangeFault.changing_restart: self._restart_changing,
            ChangeFault.late_promotion: self._toggle_promotions,
            ChangeFault.replica_restart: self._restart_replica,
            ChangeFault.empty_restart: self._empty_replica,
            ChangeFault.lost_replica: self._lose_replica,
            ChangeFault.full_member: self._toggle_full,
            ChangeFault.silent_store: self._toggle_store,
            ChangeFault.leaving_member: self._leave,
            ChangeFault.leaving_log: self._leave,
        }
        return [(events[each], 1) for each in events if each in self._faults]

    def _commit(self) -> None:
        """Commit at the primary; a replica usually receives it at once."""
        primary = self._group.primary
        position = self._group.commit()
        if primary is None or position is None:
            return
        if _CONFIRMING in primary.cut_hosts:
            return
        self._group.note(f'commit {position} at {primary.member_id}')
        receivers = [each for each in self._group.replicas if each.receives]
        if receivers and self._random.random() < 3 / 4:
            self._receive(self._random.choice(receivers))
        task = self._start(self._confirm(primary, position))
        self._confirmations.add(task)

    async def _confirm(self, primary: Process, position: LogPosition) -> None:
        deadline_s = self._now() + _CONFIRM_S
        self._waiting[position] = self._now()
        try:
            await self._await_acknowledgement(primary, position)
        except TimeoutError:
            return
        finally:
            self._waiting.pop(position)
        if await self._confirming.confirm(
            primary.member_id, position, deadline_s
        ):
            self._group.confirm(position)

    async def _await_acknowledgement(
        self, primary: Process, position: LogPosition
    ) -> None:
        async with asyncio.timeout(_CONFIRM_S):
            while not self._group.is_acknowledged(primary, position):
                await asyncio.sleep(_ACKNOWLEDGE_POLL_S)

    def _replicate(self) -> None:
        """Let replicas receive; one without a log may receive a part of it."""
        for each in self._group.replicas:
            if self._random.random() < 1 / 2:
                self._receive(each)

    def _receive(self, receiver: Process) -> None:
        before = receiver.log[-1]
        is_empty = before == EMPTY
        self._group.replicate(receiver, 1 if is_empty else 1000)
        if receiver.log[-1] != before:
            self._group.note(f'{receiver.member_id} at {receiver.log[-1]}')

    async def _watch_roster(self, host: ChangingHost) -> None:
        """Let the confirming host keep the record of witnesses up to date."""
        while True:
            await asyncio.sleep(self._random.choice(_WATCHES_S))
            await host.look()

    async def _watch(self, host: ChangingHost) -> None:
        """Let a host look for the primary again and again."""
        while True:
            await asyncio.sleep(self._random.choice(_WATCHES_S))
            if not self._is_watched:
                await host.look()
                continue
            oldest_s = min(self._waiting.values(), default=math.inf)
            await host.attempt(
                is_stalled=self._now() - oldest_s > _STALLED_WRITE_S
            )

    def _crash_primary(self) -> None:
        """Stop the primary; it comes back with its log."""
        primary = self._group.primary
        if primary is not None:
            self._start(self._stop(primary))

    async def _stop(self, process: Process) -> None:
        process.is_running = False
        down_s = self._random.choice(_DOWN_S)
        self._group.note(f'{process.member_id} is down for {down_s}')
        await asyncio.sleep(down_s)
        back = process.start_again(self._now(), keeps_log=True)
        back.is_primary = process.is_primary
        back.leaving_since_s = process.leaving_since_s
        self._group.add(back)
        self._group.note(f'{process.member_id} is back')

    def _cut(self) -> None:
        """Cut the primary off from a host, or end that."""
        primary = self._group.primary
        if primary is None:
            return
        primary.cut_hosts ^= {self._random.choice([*self._names, _CONFIRMING])}
        self._group.note(f'{primary.member_id} cut: {primary.cut_hosts}')

    def _toggle_deafness(self) -> None:
        """Keep the commits from a replica, or end that."""
        each = self._pick()
        each.is_deaf = not each.is_deaf
        self._group.note(f'{each.member_id} deaf: {each.is_deaf}')

    def _join(self) -> None:
        """Start a further member, which receives before it is registered."""
        if len(self._group.running) >= _MAX_MEMBER_COUNT:
            return
        port = len(self._group.processes) + 1
        joined = Process(f'n{port}', port, born_ms(self._now()))
        self._group.add(joined)
        self._group.note(f'{joined.member_id} joins')
        self._group.replicate(joined, 1000)

    def _restart_host(self) -> None:
        """Start the confirming host again; its callers get no answers."""
        for each in self._confirmations:
            each.cancel()
        self._confirmations.clear()
        host = ChangingHost(
            self._view(_CONFIRMING), self._promotions, self._now
        )
        self._confirming = ConfirmingHost(host.view, self._now, host.claims)
        self._replace_work(_CONFIRMING, host.run(), self._watch_roster(host))
        self._group.note('the confirming host starts')

    def _restart_changing(self) -> None:
        """Start a host again that changes the primary."""
        name = self._random.choice(self._names)
        self._start_changing(name)
        self._group.note(f'{name} starts again')

    def _toggle_promotions(self) -> None:
        """Let promotion calls get no answer, or end that."""
        self._promotions.is_silent = not self._promotions.is_silent
        self._group.note(f'calls silent: {self._promotions.is_silent}')

    def _restart_replica(self) -> None:
        """Stop a replica; it comes back with its log."""
        if self._group.replicas:
            self._start(self._stop(self._random.choice(self._group.replicas)))

    def _empty_replica(self) -> None:
        """Start a replica again without its log."""
        candidates = self._idle_replicas()
        if candidates:
            each = self._random.choice(candidates)
            self._group.add(each.start_again(self._now(), keeps_log=False))
            self._group.note(f'{each.member_id} starts again without its log')

    def _lose_replica(self) -> None:
        """End a replica for good; one at a time, and others join later."""
        candidates = self._idle_replicas()
        if candidates and len(self._group.running) >= _MIN_MEMBER_COUNT:
            lost = self._random.choice(candidates)
            lost.is_running = False
            lost.is_gone = True
            self._group.note(f'{lost.member_id} is lost with its log')

    def _idle_replicas(self) -> list[Process]:
        """Return the replicas that may lose their logs.

        Not those that are about to lead, as nothing withdraws an accepted
        promotion, and not those that alone have a confirmed commit.
        """
        awaited = {*self._promotions.pending_ids, *self._promotions.called_ids}
        return [
            each
            for each in self._group.replicas
            if each.member_id not in awaited
            and self._group.is_kept_without(each)
        ]

    def _toggle_full(self) -> None:
        """Let all connections of a member be in use, or end that."""
        each = self._pick()
        each.is_full = not each.is_full
        self._group.note(f'{each.member_id} full: {each.is_full}')

    def _toggle_store(self) -> None:
        """Let the store be silent for a host, or end that."""
        name = self._random.choice([*self._names, _CONFIRMING])
        self._store.silent_hosts ^= {name}
        self._group.note(f'store silent: {self._store.silent_hosts}')

    def _leave(self) -> None:
        """Let a member announce that it leaves; one at a time."""
        running = self._group.running
        is_any_leaving = any(
            each.leaving_since_s is not None for each in running
        )
        if is_any_leaving or len(running) < _MIN_MEMBER_COUNT:
            return
        each = self._pick()
        each.leaving_since_s = self._now()
        self._group.note(f'{each.member_id} leaves')
        self._start(self._replace(each.member_id))

    async def _replace(self, member_id: str) -> None:
        """End a leaving member; another one starts at its address."""
        await asyncio.sleep(DRAIN_S + self._random.choice((0, 2, 5)))
        each = self._group.processes[member_id]
        while each.is_primary or not each.is_running:
            await asyncio.sleep(1)
            each = self._group.processes[member_id]
        each.is_running = False
        each.is_gone = True
        if self._random.random() < 1 / 2:
            self._group.unregister(member_id)
        is_kept = ChangeFault.leaving_log not in self._faults
        name = f'{each.member_id}x'
        self._group.add(
            Process(
                name,
                each.port,
                born_ms(self._now()),
                list(each.log) if is_kept else [EMPTY],
                term=each.term if is_kept else 0,
            )
        )
        self._group.note(f'{each.member_id} is replaced by {name}')

    def _pick(self) -> Process:
        """Return any process, one that runs if there is one."""
        processes = list(self._group.processes.values())
        return self._random.choice(self._group.running or processes)

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        return task


def explore(
    first_seed: int, count: int, faults: ChangeFaults = ALL_FAULTS
) -> list[str]:
    """Play orders of events and return all violations, with their seeds."""
    found: list[str] = []
    for seed in range(first_seed, first_seed + count):
        violations = run_virtually(ChangeExplorer(seed, faults).run())
        found.extend(f'seed {seed}: {each}' for each in violations)
    return found
