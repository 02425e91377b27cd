"""Fake platform, peers, slots and placement of the terms tests."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, final

from features.terms_target_fakes import FakeConnection, FakeTarget
from mimosapond.errors import refuse
from mimosapond.group_beacon import GroupBeacon
from mimosapond.host_record import HostRecord
from mimosapond.listed_host import ListedHost
from mimosapond.member_address import MemberAddress
from mimosapond.peer_results import PeerResult, PeerSilent
from mimosapond.platform_results import (
    PlatformSilent,
    ReadRowResult,
    Row,
    RowConflict,
    RowWritten,
    WriteRowResult,
)
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.target_results import TargetSilent
from mimosapond.work_ticket import WorkTicket

_LATENCY_S: Final = 0.001
_CONNECT_TIMEOUT_S: Final = 0.3
Answerer = Callable[[str, Mapping[str, Any]], Awaitable[PeerResult]]


@final
class FakePlatform:
    """Table rows; ``delay_s`` slows it, ``loses_answers`` after the write."""

    def __init__(self) -> None:
        """Start empty and healthy."""
        self._rows: dict[str, Row] = {}
        self.delay_s: float = _LATENCY_S
        self.loses_answers = False

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Read one row."""
        if not await self._is_answering(timeout_s):
            return PlatformSilent('no answer in time')
        return self._rows.get(key, Row(key, 0, None))

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        payload: Mapping[str, Any],
        timeout_s: float,
    ) -> WriteRowResult:
        """Write a row if its revision is the expected one."""
        if not await self._is_answering(timeout_s):
            return PlatformSilent('no answer in time')
        current = self._rows.get(key, Row(key, 0, None))
        if current.revision != expected_revision:
            return RowConflict(current)
        self._rows[key] = Row(key, expected_revision + 1, payload)
        if self.loses_answers:
            await asyncio.sleep(timeout_s)
            return PlatformSilent('answer lost')
        return RowWritten(expected_revision + 1)

    async def list_rows(self, prefix: str, timeout_s: float) -> PlatformSilent:
        """Is not used by terms."""
        raise NotImplementedError

    async def list_hosts(self, timeout_s: float) -> PlatformSilent:
        """Is not used by terms."""
        raise NotImplementedError

    async def register_host(self, host: ListedHost, timeout_s: float) -> None:
        """Is not used by terms."""
        raise NotImplementedError

    async def _is_answering(self, timeout_s: float) -> bool:
        await asyncio.sleep(min(self.delay_s, timeout_s))
        return self.delay_s < timeout_s


@final
class FakeNetwork:
    """Peer operations between hosts; addresses are host ids."""

    def __init__(self) -> None:
        """Connect all hosts that register."""
        self.hosts: dict[str, Answerer] = {}
        self.cut_hosts: set[str] = set()
        self.silent_links: set[tuple[str, str]] = set()

    async def call(
        self,
        link: tuple[str, str],
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> PeerResult:
        """Call over ``link`` (caller, callee)."""
        await asyncio.sleep(_LATENCY_S)
        if link in self.silent_links or self.cut_hosts & set(link):
            await asyncio.sleep(timeout_s)
            return PeerSilent('no answer in time', sent=True)
        answer: PeerResult = PeerSilent('no answer in time', sent=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                answer = await self.hosts[link[1]](operation, body)
        return answer


@final
class FakePeers:
    """Peer port of one host."""

    def __init__(self, host_id: str, network: FakeNetwork) -> None:
        """Call from ``host_id``."""
        self._host_id = host_id
        self._network = network

    async def call(
        self,
        address: str,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
        *,
        fresh: bool = False,
    ) -> PeerResult:
        """Call a peer; a fresh call replaces a dead link."""
        link = (self._host_id, address)
        if fresh:
            self._network.silent_links.discard(link)
        return await self._network.call(link, operation, body, timeout_s)

    def disconnect(self, address: str) -> None:
        """Drop the kept link."""
        self._network.silent_links.discard((self._host_id, address))


@final
class FakeSlot:
    """A grant without a queue."""

    def __init__(self, connection: FakeConnection) -> None:
        """Grant ``connection``."""
        self.connection = connection
        self.refusal: Refused | None = None
        self.is_released = False

    def release(self, *, reusable: bool) -> None:
        """Check that a slot is released once, and clean or closed."""
        assert not self.is_released, 'a slot was released twice'
        self.is_released = True
        is_open = self.connection.has_transaction
        assert not is_open, 'a transaction was left open'
        assert reusable == self.connection.is_open

    def park(self) -> bool:
        """Keep the connection."""
        return True

    async def resume(self, ticket: WorkTicket) -> Refused | None:
        """Grant at once, or refuse as scripted."""
        return self.refusal


@final
class FakeSlots:
    """Slot sources of one host."""

    def __init__(self, target: FakeTarget) -> None:
        """Connect through ``target``."""
        self._target = target
        self._members: dict[str, MemberAddress] = {}
        self.granted: list[FakeSlot] = []

    def ensure(self, member: MemberAddress) -> 'FakeMemberSlots':
        """Return the source of one member."""
        return FakeMemberSlots(self._target, member, self.granted)


@final
class FakeMemberSlots:
    """Opens a new connection for each grant."""

    def __init__(
        self,
        target: FakeTarget,
        member: MemberAddress,
        granted: list[FakeSlot],
    ) -> None:
        """Grant connections to ``member``."""
        self._target = target
        self._member = member
        self._granted = granted

    async def acquire(self, ticket: WorkTicket) -> FakeSlot | Refused:
        """Connect, or refuse when the member is silent."""
        connection = await self._target.connect(
            self._member,
            _CONNECT_TIMEOUT_S,
        )
        if isinstance(connection, TargetSilent):
            return refuse(
                RefusalReason.NO_PRIMARY,
                group='forge-a',
                problem='no connection',
            )
        slot = FakeSlot(connection)
        self._granted.append(slot)
        return slot


@final
class FakeDirectory:
    """Hosts and owners: member ``mN`` belongs to host ``hN``."""

    def __init__(self) -> None:
        """Know three hosts."""
        self.moved: dict[str, str] = {}
        self._hosts = {
            f'h{index}': HostRecord(f'h{index}', f'h{index}', f'dc{index}')
            for index in (1, 2, 3)
        }

    def host(self, host_id: str) -> HostRecord | None:
        """Return a host."""
        return self._hosts.get(host_id)

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the preferred owner."""
        default = member.name.replace('m', 'h')
        return self._hosts[self.moved.get(member.name, default)]


@final
class RecordedBeacons:
    """Receives beacons."""

    def __init__(self) -> None:
        """Start without beacons."""
        self.positions: list[int] = []

    def note(self, asked_s: float, beacon: GroupBeacon) -> None:
        """Keep the position."""
        self.positions.append(beacon.position)
