"""Fakes of the platform, the peers, the slots and the placement."""

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
from mimosapond.peer_results import PeerResult, PeerUnavailable
from mimosapond.platform_results import (
    PlatformUnavailable,
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
PeerHandler = Callable[[str, Mapping[str, Any]], Awaitable[PeerResult]]


@final
class FakePlatform:
    """Table rows in memory.

    Attributes
    ----------
    delay_s
        Time until an answer; a call whose timeout is not longer gets none.
    loses_answers
        Whether answers to writes are lost after the write.
    """

    def __init__(self) -> None:
        """Start without rows and without faults."""
        self._rows: dict[str, Row] = {}
        self.delay_s: float = _LATENCY_S
        self.loses_answers = False

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Return one row, at revision 0 if it was never written."""
        if not await self._is_answering(timeout_s):
            return PlatformUnavailable('no answer in time')
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
            return PlatformUnavailable('no answer in time')
        current = self._rows.get(key, Row(key, 0, None))
        if current.revision != expected_revision:
            return RowConflict(current)
        self._rows[key] = Row(key, expected_revision + 1, payload)
        if self.loses_answers:
            await asyncio.sleep(timeout_s)
            return PlatformUnavailable('answer lost')
        return RowWritten(expected_revision + 1)

    async def list_rows(
        self, prefix: str, timeout_s: float
    ) -> PlatformUnavailable:
        """Not used in these tests."""
        raise NotImplementedError

    async def list_hosts(self, timeout_s: float) -> PlatformUnavailable:
        """Not used in these tests."""
        raise NotImplementedError

    async def register_host(self, host: ListedHost, timeout_s: float) -> None:
        """Not used in these tests."""
        raise NotImplementedError

    async def _is_answering(self, timeout_s: float) -> bool:
        await asyncio.sleep(min(self.delay_s, timeout_s))
        return self.delay_s < timeout_s


@final
class FakeNetwork:
    """Network between the hosts, whose addresses are their ids.

    Attributes
    ----------
    cut_hosts
        Hosts that no call reaches and whose calls reach no host.
    silent_links
        Pooled links (caller, callee) that no longer deliver calls. A new
        connection between the same hosts works.
    """

    def __init__(self) -> None:
        """Start without hosts; they are added to ``hosts``."""
        self.hosts: dict[str, PeerHandler] = {}
        self.cut_hosts: set[str] = set()
        self.silent_links: set[tuple[str, str]] = set()

    async def call(
        self,
        link: tuple[str, str],
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> PeerResult:
        """Call a host over ``link`` (caller, callee)."""
        await asyncio.sleep(_LATENCY_S)
        if link in self.silent_links or self.cut_hosts & set(link):
            await asyncio.sleep(timeout_s)
            return PeerUnavailable('no answer in time', sent=True)
        answer: PeerResult = PeerUnavailable('no answer in time', sent=True)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                answer = await self.hosts[link[1]](operation, body)
        return answer


@final
class FakePeers:
    """Fake peer port of one host."""

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
        """Call a peer; a fresh call replaces a silent link."""
        link = (self._host_id, address)
        if fresh:
            self._network.silent_links.discard(link)
        return await self._network.call(link, operation, body, timeout_s)

    def disconnect(self, address: str) -> None:
        """Drop the pooled link, so that the next call uses a new one."""
        self._network.silent_links.discard((self._host_id, address))


@final
class FakeSlot:
    """Fake grant of a slot with its connection.

    A test sets ``refusal`` to have the next ``resume`` refused.
    """

    def __init__(self, connection: FakeConnection) -> None:
        """Grant a slot with ``connection``."""
        self.connection = connection
        self.refusal: Refused | None = None
        self.is_released = False

    def release(self, *, reusable: bool) -> None:
        """Check that the slot is released once and without a transaction.

        A connection must be reported reusable exactly if it is open.
        """
        assert not self.is_released, 'a slot was released twice'
        self.is_released = True
        is_open = self.connection.has_transaction
        assert not is_open, 'a transaction was left open'
        assert reusable == self.connection.is_open

    def park(self) -> bool:
        """Accept that the connection stays open without a slot."""
        return True

    async def resume(self, ticket: WorkTicket) -> Refused | None:
        """Grant at once, or return the refusal that the test set."""
        return self.refusal


@final
class FakeSlots:
    """Fake slot sources of one host."""

    def __init__(self, target: FakeTarget) -> None:
        """Open connections through ``target``."""
        self._target = target
        self._members: dict[str, MemberAddress] = {}
        self.granted: list[FakeSlot] = []

    def ensure(self, member: MemberAddress) -> 'FakeMemberSlots':
        """Return the slot source of ``member``."""
        return FakeMemberSlots(self._target, member, self.granted)


@final
class FakeMemberSlots:
    """Fake slot source that opens a new connection for each grant."""

    def __init__(
        self,
        target: FakeTarget,
        member: MemberAddress,
        granted: list[FakeSlot],
    ) -> None:
        """Grant slots of ``member`` and record them in ``granted``."""
        self._target = target
        self._member = member
        self._granted = granted

    async def acquire(self, ticket: WorkTicket) -> FakeSlot | Refused:
        """Grant a slot, or refuse if the member is unreachable."""
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
    """Fake membership and placement: host ``hN`` owns member ``mN``.

    Attributes
    ----------
    owner_ids
        Members that another host owns, with the id of that host.
    """

    def __init__(self) -> None:
        """Create three hosts, each the owner of one member."""
        self.owner_ids: dict[str, str] = {}
        self._hosts = {
            f'h{index}': HostRecord(f'h{index}', f'h{index}', f'dc{index}')
            for index in (1, 2, 3)
        }

    def host(self, host_id: str) -> HostRecord | None:
        """Return the host with ``host_id``; None if there is none."""
        return self._hosts.get(host_id)

    def owner_of(self, member: MemberAddress) -> HostRecord | None:
        """Return the preferred owner."""
        default = member.name.replace('m', 'h')
        return self._hosts[self.owner_ids.get(member.name, default)]


@final
class RecordedBeacons:
    """Fake receiver that records the positions of beacons."""

    def __init__(self) -> None:
        """Start without beacons."""
        self.positions: list[int] = []

    def note(self, asked_s: float, beacon: GroupBeacon) -> None:
        """Record the position of ``beacon``."""
        self.positions.append(beacon.position)
