"""Hosts with simulated members on the wire, and callers of these hosts."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

import attrs
from tornado.httpserver import HTTPServer

from features.group_builders import (
    GROUP,
    GroupWorld,
    build_configuration,
    build_record,
    build_route,
    build_world,
)
from features.relay_builders import (
    build_finder,
    build_relayed_work_services,
    serve_handler,
)
from features.wire_member import WireMember
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.route import Route
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.group import Group
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.platform.member_dialer import WireMemberDialer
from mimosapond.routing.open_transaction import OpenTransaction
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import WorkDone, WorkOutcome
from mimosapond.sessions.session import Session
from mimosapond.statements.reply import Reply, SessionState, Success
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Rollback,
    SetValue,
    Statement,
)

TIMEOUT_MS: Final = 2000
_IDLE_MS: Final = 20_000
_LIMIT_S: Final = 1.0
_POLL_S: Final = 0.005
_MS_PER_S: Final = 1000
_STATEMENTS: Final[Mapping[str, Statement]] = MappingProxyType(
    {
        'begin': Begin(is_read_only=False),
        'begin read': Begin(is_read_only=True),
        'commit': Commit(),
        'rollback': Rollback(),
        'set limit 5': SetValue('limit', '5'),
        'set mode x': SetValue('mode', 'x'),
        'set mode y': SetValue('mode', 'y'),
        'set more 1': SetValue('more', '1'),
    },
)
_SIGNED_WORDS: Final = frozenset(('read', 'write', 'commit'))


def build_wire_world(
    members: list[WireMember], connection_count: int
) -> GroupWorld:
    """Build a host and connect it to members that listen on real ports."""
    route = build_route(timeout_ms=TIMEOUT_MS)
    world = build_world(route, idle_ms=_IDLE_MS)
    directory = GroupDirectory(
        WireMemberDialer(_LIMIT_S, _LIMIT_S), boot_time_s
    )
    directory.apply_limits(build_configuration(route))
    directory.apply_registrations(
        attrs.evolve(build_record(member.member_id), port=member.open_port())
        for member in members
    )
    group = directory.get_or_create(GROUP)
    for member in group.members.values():
        member.pool.limit_count = connection_count
    return attrs.evolve(
        world,
        fakes={},
        directory=directory,
        group=group,
        services=attrs.evolve(world.services, directory=directory),
    )


def build_work(
    request_id: str,
    group: Group,
    statement: DirectStatement,
    route: Route | None = None,
) -> Work:
    """Build a statement of a caller without session values."""
    now_s = boot_time_s()
    return Work(
        request_id=request_id,
        statement=statement,
        values={},
        route=route or build_route(timeout_ms=TIMEOUT_MS),
        group=group,
        arrived_s=now_s,
        deadline_s=now_s + TIMEOUT_MS / _MS_PER_S,
        floor=None,
    )


def build_access(word: str, item: str) -> DirectStatement:
    """Build a read or a write of an item in the wire format."""
    if word == 'write':
        return DirectStatement(f'WRITE {item} data', is_write=True)
    return DirectStatement(f'READ {item}', is_write=False)


@final
@attrs.define(eq=False)
class RelayedCaller:
    """A caller of another host that passes its transaction on."""

    name: str
    group: Group
    transaction: OpenTransaction
    # Request ids of the statements that succeeded.
    succeeded: list[str] = attrs.field(factory=list)
    # Signatures by request id.
    signatures: dict[str, str] = attrs.field(factory=dict)
    # Request ids of the writes that succeeded.
    writes: list[str] = attrs.field(factory=list)
    is_committed: bool = False
    sent_count: int = 0

    @property
    def reported_kept(self) -> list[str]:
        """Request ids of the writes that were reported to it as kept."""
        return self.writes if self.is_committed else []

    async def run(self, word: str) -> WorkOutcome:
        """Run a statement in the transaction and record its outcome."""
        work = self._next_work(build_access(word, self.name))
        return self._record_success(work, await self.transaction.run(work))

    async def commit(self) -> WorkOutcome:
        """Commit and record the outcome."""
        work = self._next_work(build_access('read', self.name))
        outcome = self._record_success(
            work, await self.transaction.commit(work)
        )
        self.is_committed = work.request_id in self.succeeded
        return outcome

    def owns(self, request_id: str) -> bool:
        """Return whether a request was sent by this caller."""
        return request_id.startswith(f'{self.name}-')

    def _next_work(self, statement: DirectStatement) -> Work:
        self.sent_count += 1
        return build_work(
            f'{self.name}-{self.sent_count}', self.group, statement
        )

    def _record_success(self, work: Work, outcome: WorkOutcome) -> WorkOutcome:
        if isinstance(outcome, WorkDone) and isinstance(outcome.reply, Success):
            self.succeeded.append(work.request_id)
            self.signatures[work.request_id] = outcome.reply.signature
            if work.statement.is_write:
                self.writes.append(work.request_id)
        return outcome


@final
@attrs.define(eq=False)
class LocalCaller:
    """A caller of the host that reaches member p; see ``RelayedCaller``."""

    name: str
    session: Session
    replies: list[Reply] = attrs.field(factory=list)
    signatures: dict[str, str] = attrs.field(factory=dict)
    # Session values acknowledged before each request, by request id.
    values: dict[str, dict[str, str]] = attrs.field(factory=dict)
    acknowledged: dict[str, str] = attrs.field(factory=dict)
    # Request ids of the writes that were reported to it as kept.
    reported_kept: list[str] = attrs.field(factory=list)
    # Request ids of the writes of the open transaction.
    uncommitted: list[str] = attrs.field(factory=list)

    async def send(self, word: str) -> Reply:
        """Send a statement and record the reply."""
        request_id = f'{self.name}-{len(self.replies)}'
        statement = _STATEMENTS.get(word) or build_access(word, self.name)
        self.values[request_id] = dict(self.acknowledged)
        reply = await self.session.execute(request_id, statement)
        self.replies.append(reply)
        if isinstance(statement, SetValue) and isinstance(reply, Success):
            self.acknowledged[statement.name] = statement.value
        if isinstance(reply, Success) and word in _SIGNED_WORDS:
            self.signatures[request_id] = reply.signature
            self._record_success(request_id, word)
        if self.session.state is not SessionState.in_transaction:
            self.uncommitted.clear()
        return reply

    def owns(self, request_id: str) -> bool:
        """Return whether a request was sent by this caller."""
        return request_id.startswith(f'{self.name}-')

    def _record_success(self, request_id: str, word: str) -> None:
        if word == 'write':
            self.uncommitted.append(request_id)
        if self.session.state is SessionState.idle:
            self.reported_kept.extend(self.uncommitted)


async def begin_relayed(name: str, address: str, group: Group) -> RelayedCaller:
    """Begin a transaction that host ``name`` passes on to ``address``."""
    _, finder = build_finder(name, address)
    relay = await finder.find(group)
    assert relay is not None
    transaction = relay.open(Begin(is_read_only=False))
    return RelayedCaller(name, group, transaction)


@final
class KeyedTransaction:
    """A transaction at another host under a key that the test chooses."""

    def __init__(self, host: str, address: str, key: str) -> None:
        """Prepare a transaction that ``host`` passes on to ``address``."""
        directory, _ = build_finder(host, address)
        self._peer = directory.choose(1)[0]
        self._client = PeerClient(directory, boot_time_s)
        self._key = key
        self._is_first = True
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, work: Work) -> WorkOutcome:
        """Run a statement; the first one begins the transaction."""
        is_first = self._is_first
        self._is_first = False
        begin = Begin(is_read_only=False)
        return await self._client.run_in_transaction(
            self._peer, self._key, begin, work, is_first=is_first
        )

    async def commit(self, work: Work) -> WorkOutcome:
        """Commit the transaction."""
        return await self._client.commit(self._peer, self._key, work)

    def abandon(self) -> None:
        """Start its rollback in the background."""
        call = self._client.roll_back(self._peer, self._key)
        task = asyncio.create_task(call)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


@final
@attrs.define(eq=False)
class OwnershipWorld:
    """A host with members on the wire, and callers of it and other hosts."""

    members: dict[str, WireMember]
    host: GroupWorld
    relay_handler: RelayedWorkHandler
    server: HTTPServer
    address: str
    callers: dict[str, RelayedCaller | LocalCaller] = attrs.field(factory=dict)

    @property
    def member(self) -> WireMember:
        """The primary."""
        return self.members['p']

    @property
    def pool(self) -> ConnectionPool:
        """The host's connections to the primary."""
        return self.host.group.members['p'].pool

    async def begin(self, name: str) -> RelayedCaller:
        """Begin a transaction for a caller of the host ``name``."""
        group = build_world().group
        caller = await begin_relayed(name, self.address, group)
        self.callers[name] = caller
        return caller

    def begin_keyed(self, name: str, key: str) -> RelayedCaller:
        """Open a transaction with a given key for a caller of host ``name``."""
        transaction = KeyedTransaction(name, self.address, key)
        caller = RelayedCaller(name, build_world().group, transaction)
        self.callers[name] = caller
        return caller

    def open_local(self, name: str) -> LocalCaller:
        """Open a session for a caller of the host itself."""
        caller = LocalCaller(name, self.host.open_session())
        self.callers[name] = caller
        return caller

    async def await_idle(self) -> list[str]:
        """Wait until all connections are idle; return what is still busy."""
        busy = self.find_busy()
        until_s = boot_time_s() + _LIMIT_S
        while busy and boot_time_s() < until_s:
            await asyncio.sleep(_POLL_S)
            busy = self.find_busy()
        return busy

    def find_busy(self) -> list[str]:
        """Describe all work and connections that are not idle."""
        busy: list[str] = []
        if self.relay_handler.open_count:
            busy.append(f'work of other hosts: {self.relay_handler.open_count}')
        for name, member in self.members.items():
            pool = self.host.group.members[name].pool
            open_count = len(member.open_sessions)
            states = [session.state for session in member.open_sessions]
            if not pool.idle_count == pool.open_count == open_count:
                busy.append(
                    f'{name}: {open_count} connections are open, '
                    f'{pool.open_count} of the pool, {pool.idle_count} idle'
                )
            if set(states) - {'I'}:
                busy.append(f'{name}: states of connections: {states}')
        return busy


async def build_ownership_world(
    connection_count: int, *names: str
) -> OwnershipWorld:
    """Build a host that serves other hosts and has confirmed primary p.

    Parameters
    ----------
    names
        Member ids of the replicas.
    """
    members = {'p': WireMember('p', is_primary=True)}
    members.update((name, WireMember(name, is_primary=False)) for name in names)
    host = build_wire_world(list(members.values()), connection_count)
    await host.probe.ask(host.group, host.group.members['p'])
    relay_handler = RelayedWorkHandler(build_relayed_work_services(host))
    server, address = serve_handler(relay_handler, host)
    return OwnershipWorld(members, host, relay_handler, server, address)
