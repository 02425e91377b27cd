"""Three hosts and three members, with fakes between them, on virtual time."""

import asyncio
import itertools
import random
from collections.abc import Coroutine, Mapping
from typing import Any, Final, TypeVar, final

from features.terms_fakes import (
    FakeDirectory,
    FakeNetwork,
    FakePeers,
    FakePlatform,
    FakeSlots,
    RecordedBeacons,
)
from features.terms_loop import LoopClock, VirtualLoop
from features.terms_member_fakes import FakeMember, run_sql
from features.terms_target_fakes import FakeTarget
from mimosapond.acquire_attempts import AcquireAttempts
from mimosapond.access_mode import AccessMode
from mimosapond.codec import encode
from mimosapond.decision_log import NullDecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.durability import Durability
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.group_keeper import GroupKeeper
from mimosapond.group_spec import GroupSpec
from mimosapond.group_views import GroupViews
from mimosapond.holder_installer import HolderInstaller
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.member_address import MemberAddress
from mimosapond.metrics import NullMetrics
from mimosapond.opinion_collector import OpinionCollector
from mimosapond.options import Options
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerAnswered, PeerRejected, PeerResult
from mimosapond.peer_run import PeerRun
from mimosapond.standing import PRIMARY_ROLE
from mimosapond.planned_switchover import PlannedSwitchover
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.term_acquirer import TermAcquirer
from mimosapond.term_claim import TermClaims
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts
from mimosapond.term_registry import TermRegistry

NAMES: Final = ('1', '2', '3')
GROUP: Final = GroupSpec(
    'forge-a',
    tuple(
        MemberAddress(f'm{name}', f'dc{name}', f'127.0.0.{name}:1')
        for name in NAMES
    ),
)
_REPLICATION_S: Final = 0.002
_GOSSIP_S: Final = 0.25
_MS_PER_S: Final = 1000
_NONCE_LENGTH: Final = 16
_Answer = TypeVar('_Answer')


def options() -> Options:
    """Return the default options of a host."""
    return Options('h', 'dc', ':1', ':2', ':3', ':4')


def request_id(world: 'World', label: str) -> str:
    """Return a valid request id that is derived from ``label``."""
    padded = label.ljust(_NONCE_LENGTH, '_')
    return f'{world.started_ms}.{padded}'


def build_run(
    identity: str,
    statements: tuple[Statement, ...],
    durability: Durability = Durability.REPLICATED,
    session_id: str | None = None,
    deadline_ms: int = _MS_PER_S,
) -> PeerRun:
    """Build a write request, with a deadline of one second by default."""
    request = StatementRequest(
        service='forge',
        workspace='shop',
        request_id=identity,
        mode=AccessMode.WRITE,
        statements=statements,
        deadline_ms=deadline_ms,
        durability=durability,
        session_id=session_id,
    )
    return PeerRun(request, 'forge-a', 'm1')


def note(body: str) -> Statement:
    """Return a write that adds a row each time it runs."""
    return Statement('INSERT INTO notes (body) VALUES (?)', (body,))


@final
class FakeHost:
    """Keeper, acquirer and holder of one host."""

    def __init__(self, host_id: str, world: 'World') -> None:
        """Connect one host to the fakes of ``world``."""
        target = FakeTarget(host_id, world.members, world.jitter)
        self.parts = TermParts(
            host_id,
            options(),
            target,
            world.clock,
            NullDecisionLog(),
            NullMetrics(),
        )
        self.slots = FakeSlots(target)
        self.views = GroupViews()
        self.registry = TermRegistry()
        self.beacons = RecordedBeacons()
        self.degraded = DegradedPaths(NullMetrics())
        peers = FakePeers(host_id, world.network)
        self.acquirer = TermAcquirer(
            self.parts,
            TermClaims(self.parts, world.platform),
            self.views,
            HolderInstaller(self.parts, self.slots, self.registry),
            world.leaving,
        )
        self.switchover = PlannedSwitchover(
            self.parts,
            self.acquirer,
            self.registry,
            world.leaving,
        )
        ports = KeeperPorts(
            self.views,
            self.registry,
            self.acquirer,
            OpinionCollector(self.parts, peers, world.directory),
            peers,
            world.directory,
            world.directory,
            self.beacons,
            self.degraded,
            self.switchover,
            world.jitter,
        )
        self.attempts = AcquireAttempts(self.parts, ports, GROUP)
        self.keeper = GroupKeeper(self.parts, ports, GROUP)

    @property
    def holder(self) -> TermHolder | None:
        """The open holder of the group; None without one."""
        return self.registry.holder(GROUP.name)

    async def answer(
        self,
        operation: str,
        body: Mapping[str, Any],
    ) -> PeerResult:
        """Serve the peer operations opinion, handover and beacon."""
        if operation == 'opinion':
            is_reachable = await self.keeper.opinion(body['term'])
            return PeerAnswered({'reachable': is_reachable})
        holder = self.holder
        if holder is None:
            view = self.views.get(GROUP.name)
            known = None if view is None else encode(view)
            return PeerRejected('not_holder', '', {'view': known})
        if operation == 'handover':
            is_released = await holder.release(body['timeout_ms'] / _MS_PER_S)
            return PeerAnswered({'released': is_released})
        timeout_s = body['timeout_ms'] / _MS_PER_S
        deadline_s = self.parts.clock.monotonic_s() + timeout_s
        beacon = await holder.beacon(deadline_s)
        if beacon is None:
            return PeerRejected('not_confirmed', '', {})
        return PeerAnswered(encode(beacon))


@final
class World:
    """Hosts and members of one test, and the network between them."""

    def __init__(self, seed: int = 1) -> None:
        """Build hosts and members, and start the replication.

        Parameters
        ----------
        seed
            Seed of the delays of targets and of the pauses between attempts.
        """
        self.loop = VirtualLoop()
        self.clock = LoopClock(self.loop)
        self.started_ms = self.clock.unix_ms()
        self.jitter = random.Random(seed)
        self.platform = FakePlatform()
        self.network = FakeNetwork()
        self.directory = FakeDirectory()
        self.leaving = LeavingTargets(NullDecisionLog())
        self.members = {
            f'm{name}': FakeMember(f'm{name}', self.loop) for name in NAMES
        }
        self.cut_members: set[str] = set()
        self.hosts: dict[str, FakeHost] = {}
        for name in NAMES:
            host = FakeHost(f'h{name}', self)
            self.hosts[f'h{name}'] = host
            self.network.hosts[f'h{name}'] = host.answer
        self._tasks = [self.loop.create_task(self._replicate())]

    def run(self, work: Coroutine[Any, Any, _Answer]) -> _Answer:
        """Run ``work`` on virtual time and return its result."""
        return self.loop.run_until_complete(work)

    def wait(self, delay_s: float) -> None:
        """Let virtual time pass."""
        self.run(asyncio.sleep(delay_s))

    def start(self, work: Coroutine[Any, Any, _Answer]) -> Any:
        """Start ``work`` in the background and return its task."""
        task = self.loop.create_task(work)
        self._tasks.append(task)
        return task

    def acquire_term(self, host: str, member: str | None) -> bool:
        """Acquire a term at ``host``; return whether it succeeded."""
        acquirer = self.hosts[host].acquirer
        view = self.run(acquirer.acquire(GROUP, keep=member))
        return view is not None

    def spread_views(self) -> None:
        """Give all hosts the newest view, as gossip does."""
        known = [host.views.get(GROUP.name) for host in self.hosts.values()]
        newest = max(
            (view for view in known if view is not None),
            key=lambda view: view.term,
        )
        for host in self.hosts.values():
            self.run(host.views.merge(newest))

    def cut(self, member: str) -> None:
        """Cut a member off from all hosts and from replication."""
        self.members[member].cut_hosts |= set(self.hosts)
        self.cut_members.add(member)

    def remove_faults(self) -> None:
        """Reconnect hosts and members, and end lag and lost commit answers."""
        self.cut_members.clear()
        self.network.cut_hosts.clear()
        for member in self.members.values():
            member.cut_hosts.clear()
            member.silent_links.clear()
            member.lag_s = 0
            member.loses_commit_answer = False

    def run_keepers(self) -> None:
        """Start the keepers and the gossip of all hosts."""
        for host in self.hosts.values():
            self.start(host.keeper.run())
        self.start(self._gossip())

    def primary(self) -> FakeMember:
        """Return the primary with the highest term."""
        leading = (
            member
            for member in self.members.values()
            if member.role == PRIMARY_ROLE
        )
        return max(leading, key=lambda member: member.term)

    def count_notes(self, body: str) -> int:
        """Return how often the newest primary holds the note ``body``."""
        query = Statement('SELECT count(*) FROM notes WHERE body = ?', (body,))
        results = run_sql(self.primary().database(), (query,))
        return int(results[0].rows[0][0])

    def write(
        self,
        host: str,
        label: str,
        durability: Durability = Durability.REPLICATED,
        deadline_ms: int = _MS_PER_S,
    ) -> Coroutine[Any, Any, Outcome]:
        """Return the unstarted write of the note ``label`` at ``host``."""
        holder = self.hosts[host].registry.holder(GROUP.name)
        assert holder is not None, f'{host} is not the holder'
        run = build_run(
            request_id(self, label),
            (note(label),),
            durability,
            session_id='clerk',
            deadline_ms=deadline_ms,
        )
        return holder.write(run)

    def close(self) -> None:
        """Cancel all tasks and close the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0))
        self.loop.close()

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(_GOSSIP_S)
            views = [host.views for host in self._connected_hosts()]
            for one, other in itertools.permutations(views, 2):
                known = one.get(GROUP.name)
                if known is not None:
                    await other.merge(known)

    def _connected_hosts(self) -> list[FakeHost]:
        cut_ids = self.network.cut_hosts
        return [
            host
            for host_id, host in self.hosts.items()
            if host_id not in cut_ids
        ]

    async def _replicate(self) -> None:
        while True:
            await asyncio.sleep(_REPLICATION_S)
            for primary in self.members.values():
                self._send_log(primary)

    def _send_log(self, primary: FakeMember) -> None:
        if primary.name in self.cut_members:
            return
        for replica in self.members.values():
            if replica is not primary and replica.name not in self.cut_members:
                replica.follow(primary)
