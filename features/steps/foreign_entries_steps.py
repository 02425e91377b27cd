"""Steps of foreign_entries.feature."""

import asyncio
import base64
import json
from typing import Any, Final

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings, strategies

from features.foreign_entry_decoders import DECODERS
from features.foreign_entry_builders import (
    build_foreign_registration,
    build_nested_lists,
    build_registration,
)
from features.group_builders import (
    DATA_CENTRE,
    GROUP,
    build_configuration,
    build_record,
    build_route,
    build_world,
)
from features.group_fakes import FakeConnection, FakeDialer, FakeMember
from features.relay_builders import (
    build_relayed_work_services,
    send_to_peer,
    serve_handler,
)
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.peers import peer_paths
from mimosapond.peers.peer import Peer
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_registrations import StoreRegistrations
from mimosapond.task_supervisor import TaskSupervisor
from standins.platform_services.table_store import TableStore

_READ_TIMEOUT_S: Final = 1.0
_START_TIMEOUT_S: Final = 10.0
_FAILURE_COUNT: Final = 3
_EXAMPLE_COUNT: Final = 300

# Scalars that stay within JSON and those that a lenient encoder adds.
_SCALARS: Final = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters())
)
_FIELDS: Final = strategies.sampled_from(
    (
        'service',
        'addr',
        'zone',
        'state',
        'version',
        'routes',
        'services',
        'limits',
        'holder',
        'claimed_ms',
        'address',
        'data_centre',
        'announced_ms',
        'rows',
        'ver',
        'now_ms',
        'key',
        'value',
        'deleted',
    ),
)
_VALUES: Final = strategies.recursive(
    _SCALARS,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(_FIELDS, inner, max_size=6)
    ),
    max_leaves=12,
)
_OBJECTS: Final = strategies.dictionaries(_FIELDS, _VALUES, max_size=8)
_CONTENTS: Final = strategies.binary(max_size=40) | _OBJECTS.map(
    lambda entry: json.dumps(entry).encode()
)


def _run(context: Any, coroutine: Any) -> Any:
    return context.loop.run_until_complete(coroutine)


def _put(context: Any, table: str, key: str, content: bytes) -> None:
    context.store.put(table, key, base64.b64encode(content).decode())


def _register(context: Any, member: str) -> None:
    content = json.dumps(build_registration()).encode()
    _put(context, 'servers', member, content)


@given('a table store with the registrations of members m1 and m2')
def start_store(context: Any) -> None:
    """Start the stand-in with two members, and a directory that polls it."""
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.store = _run(context, _build_store())
    context.add_cleanup(context.store.close)
    client = _run(context, _connect(context.store))
    context.directory = GroupDirectory(FakeDialer({}), boot_time_s)
    context.directory.apply_limits(build_configuration(build_route()))
    context.poller = RegistrationPoller(
        StoreRegistrations(client), context.directory
    )
    for member in ('m1', 'm2'):
        _register(context, member)


async def _build_store() -> TableStore:
    return TableStore(_READ_TIMEOUT_S)


async def _connect(store: TableStore) -> StoreClient:
    return StoreClient(store.listen())


@when('another program registers m3 with {content}')
def register_odd(context: Any, content: str) -> None:
    """Write the odd registration."""
    _put(context, 'servers', 'm3', build_foreign_registration(content))


@when('the registrations are polled twice, with m4 registered in between')
def poll_twice(context: Any) -> None:
    """Poll, add a member and poll again."""
    _run(context, context.poller.refresh(_READ_TIMEOUT_S))
    _register(context, 'm4')
    _run(context, context.poller.refresh(_READ_TIMEOUT_S))


@then('the known members are {names}')
def check_members(context: Any, names: str) -> None:
    """Compare all members of all groups."""
    known = sorted(
        member
        for group in context.directory.groups.values()
        for member in group.members
    )
    assert ', '.join(known) == names, known


@then('the {decoder} decoder raises for no content')
def check_decoder(context: Any, decoder: str) -> None:
    """Decode arbitrary contents; an exception fails the step."""
    decode = DECODERS[decoder]
    check = hypothesis_given(_CONTENTS)(decode)
    settings(max_examples=_EXAMPLE_COUNT, deadline=None, database=None)(check)()
    decode(build_nested_lists().encode())


@when('another program writes {content} as the claim of the group')
def write_claim(context: Any, content: str) -> None:
    """Write a row that hosts take for a claim."""
    _put(context, 'mimosapond-duties', GROUP, content.encode())


@when('a supervised task fails 3 times and then runs')
def run_supervised(context: Any) -> None:
    """Run a task that raises at its first starts."""
    context.supervised = asyncio.run(_run_supervised())


async def _run_supervised() -> tuple[int, bool]:
    work = _FailingWork()
    supervisor = TaskSupervisor()
    supervisor.start('work', work.run)
    async with asyncio.timeout(_START_TIMEOUT_S):
        await work.runs.wait()
    return work.start_count, supervisor.is_started('work')


class _FailingWork:
    """Raises at its first starts, and then runs on."""

    def __init__(self) -> None:
        self.start_count = 0
        self.runs = asyncio.Event()

    async def run(self) -> None:
        """Run once."""
        self.start_count += 1
        if self.start_count <= _FAILURE_COUNT:
            raise OverflowError('a number is too large')
        self.runs.set()
        await asyncio.Event().wait()


@then('it was started {count:d} times and is still running')
def check_supervised(context: Any, count: int) -> None:
    """Compare the number of starts."""
    assert context.supervised == (count, True), context.supervised


class _FailingOnceDialer:
    """Raises an unexpected error at the first dial."""

    def __init__(self) -> None:
        self._has_failed = False

    async def dial(self, record: Any, workspace: str) -> FakeConnection:
        """Open a connection, except at the first call."""
        if not self._has_failed:
            self._has_failed = True
            raise OverflowError('port out of range')
        return FakeConnection(FakeMember(record.member_id))


@given('a pool of one connection whose dialer fails unexpectedly once')
def build_failing_pool(context: Any) -> None:
    """Build the pool; its limit is one connection."""
    context.pool = ConnectionPool(
        build_record('m1'),
        _FailingOnceDialer(),
        MemberLoad(boot_time_s),
        boot_time_s,
    )


@when('a connection is borrowed twice')
def borrow_twice(context: Any) -> None:
    """Borrow; the second borrower comes after the first has failed."""
    context.borrowed = asyncio.run(_borrow_twice(context.pool))


async def _borrow_twice(pool: ConnectionPool) -> list[Any]:
    return [await pool.borrow(1, 1.0), await pool.borrow(1, 1.0)]


@then('the second borrower gets a connection')
def check_second(context: Any) -> None:
    """Check both outcomes."""
    first, second = context.borrowed
    assert not isinstance(first, ConnectionLease), first
    assert isinstance(second, ConnectionLease), second


class _RecordingDialer:
    """Records the addresses that are dialled."""

    def __init__(self) -> None:
        self.addresses: list[str] = []

    async def dial(self, record: Any, workspace: str) -> FakeConnection:
        """Record the address and open a connection."""
        self.addresses.append(f'{record.ip}:{record.port}')
        return FakeConnection(FakeMember(record.member_id))


@given('a directory with member m1 at 127.0.0.1:1')
def build_directory(context: Any) -> None:
    """Build a directory whose dialer records addresses."""
    context.dialer = _RecordingDialer()
    context.directory = GroupDirectory(context.dialer, boot_time_s)
    context.directory.apply_limits(build_configuration(build_route()))
    context.directory.apply_registrations([build_record('m1', port=1)])


@when('m1 registers at 127.0.0.1:2')
def move(context: Any) -> None:
    """Register the same id at another port."""
    context.directory.apply_registrations([build_record('m1', port=2)])


@then('connections to m1 are opened to {address}')
def check_address(context: Any, address: str) -> None:
    """Borrow a connection and compare the dialled address."""
    member = context.directory.groups[GROUP].members['m1']
    asyncio.run(member.pool.borrow(1, 1.0))
    assert context.dialer.addresses == [address], context.dialer.addresses


@given('a host that answers other hosts')
def build_peer(context: Any) -> None:
    """Build the world of a host; the step that sends starts its listener."""
    context.world = build_world()


@when('another host sends {content} to it')
def send_odd(context: Any, content: str) -> None:
    """Send an odd body as a read."""
    bodies = {
        '100000 nested lists': build_nested_lists(),
        'a list': '[1, 2]',
        'an odd deadline': '{"work": {"route": 5, "remaining_ms": "x"}}',
    }
    context.code = asyncio.run(_send(context.world, bodies[content]))


async def _send(world: Any, body: str) -> int:
    handler = RelayedWorkHandler(build_relayed_work_services(world))
    server, address = serve_handler(handler, world)
    peer = Peer('far', address, DATA_CENTRE)
    code = await send_to_peer(peer, peer_paths.READS, body.encode())
    server.stop()
    return code


@then('the host answers {code:d}')
def check_code(context: Any, code: int) -> None:
    """Compare the status of the answer."""
    assert context.code == code, context.code
