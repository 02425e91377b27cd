"""Platform port in memory, with outages, lost answers and delayed writes."""

import asyncio
from collections.abc import Mapping
from typing import final

from mimosapond.listed_host import ListedHost
from mimosapond.platform_results import (
    JsonValue,
    PlatformUnavailable,
    ReadRowResult,
    Row,
    RowConflict,
    RowWritten,
    WriteRowResult,
)


@final
class MemoryPlatform:
    """Table of rows and list of hosts, with injected faults.

    Attributes
    ----------
    is_down
        Whether the platform is unreachable: no request takes effect.
    lost_answer_count
        Number of next writes that take effect, but whose answer is lost.
    delayed_write_count
        Number of next writes that are not answered and take effect only at
        ``release_writes``.
    silent_read_count
        Number of next row reads that are not answered, counted once a write
        has been sent.
    write_count
        Number of writes that were sent while the platform was reachable.
    read_barrier
        Barrier at which row reads wait, so that several readers have read
        before one of them writes.
    """

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self.is_down = False
        self.lost_answer_count = 0
        self.delayed_write_count = 0
        self.silent_read_count = 0
        self.write_count = 0
        self.read_barrier: asyncio.Barrier | None = None
        self.rows: dict[str, Row] = {}
        self.hosts: dict[str, ListedHost] = {}
        self._delayed_writes: list[
            tuple[str, int, Mapping[str, JsonValue]]
        ] = []

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Read one row; a missing row has revision 0 and no payload."""
        if self._leaves_read_unanswered():
            return PlatformUnavailable('down')
        row = self.rows.get(key, Row(key, 0, None))
        if self.read_barrier is not None:
            await self.read_barrier.wait()
        return row

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        payload: Mapping[str, JsonValue],
        timeout_s: float,
    ) -> WriteRowResult:
        """Write a row if its revision equals ``expected_revision``."""
        if self.is_down:
            return PlatformUnavailable('down')
        self.write_count += 1
        if self.delayed_write_count:
            self.delayed_write_count -= 1
            self._delayed_writes.append((key, expected_revision, payload))
            return PlatformUnavailable('slow')
        result = self._write(key, expected_revision, payload)
        if self.lost_answer_count:
            self.lost_answer_count -= 1
            return PlatformUnavailable('lost answer')
        return result

    async def list_rows(
        self,
        prefix: str,
        timeout_s: float,
    ) -> tuple[Row, ...] | PlatformUnavailable:
        """Read all rows whose key starts with ``prefix``."""
        if self.is_down:
            return PlatformUnavailable('down')
        return tuple(
            row for key, row in self.rows.items() if key.startswith(prefix)
        )

    async def list_hosts(
        self,
        timeout_s: float,
    ) -> tuple[ListedHost, ...] | PlatformUnavailable:
        """Read the host list."""
        if self.is_down:
            return PlatformUnavailable('down')
        return tuple(self.hosts.values())

    async def register_host(
        self,
        host: ListedHost,
        timeout_s: float,
    ) -> PlatformUnavailable | None:
        """Add or replace the entry of ``host`` in the list."""
        if self.is_down:
            return PlatformUnavailable('down')
        self.hosts[host.host_id] = host
        return None

    def release_writes(self) -> None:
        """Run the delayed writes; one with an outdated revision is lost."""
        for key, expected_revision, payload in self._delayed_writes:
            self._write(key, expected_revision, payload)
        self._delayed_writes.clear()

    def _leaves_read_unanswered(self) -> bool:
        if self.write_count and self.silent_read_count:
            self.silent_read_count -= 1
            return True
        return self.is_down

    def _write(
        self,
        key: str,
        expected_revision: int,
        payload: Mapping[str, JsonValue],
    ) -> RowWritten | RowConflict:
        current = self.rows.get(key, Row(key, 0, None))
        if current.revision != expected_revision:
            return RowConflict(current)
        self.rows[key] = Row(key, expected_revision + 1, payload)
        return RowWritten(expected_revision + 1)
