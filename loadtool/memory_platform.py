"""Platform port in memory, with outages and lost answers."""

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
    """Table and host list.

    Attributes
    ----------
    is_down
        Nothing arrives and nothing is answered.
    lost_answer_count
        Next writes that take effect but are not answered.
    delayed_write_count
        Next writes that are not answered and take effect only at
        ``release_writes``.
    silent_read_count
        Reads that are not answered after the next write.
    read_barrier
        Readers wait at it, so that several read before one of them writes.
    """

    def __init__(self) -> None:
        """Start empty and healthy."""
        self.is_down = False
        self.lost_answer_count = 0
        self.delayed_write_count = 0
        self.silent_read_count = 0
        self.write_count = 0
        self.read_barrier: asyncio.Barrier | None = None
        self.rows: dict[str, Row] = {}
        self.hosts: dict[str, ListedHost] = {}
        self._delayed: list[tuple[str, int, Mapping[str, JsonValue]]] = []

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Read one row; an absent row has revision 0."""
        if self._swallows_read():
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
        """Write a row if its revision is still the expected one."""
        if self.is_down:
            return PlatformUnavailable('down')
        self.write_count += 1
        if self.delayed_write_count:
            self.delayed_write_count -= 1
            self._delayed.append((key, expected_revision, payload))
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
        """Add or change this host's own entry in the list."""
        if self.is_down:
            return PlatformUnavailable('down')
        self.hosts[host.host_id] = host
        return None

    def release_writes(self) -> None:
        """Let the delayed writes take effect."""
        for key, expected_revision, payload in self._delayed:
            self._write(key, expected_revision, payload)
        self._delayed.clear()

    def _swallows_read(self) -> bool:
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
