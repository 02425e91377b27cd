"""Port: the platform's table service and host list.

A deployment with another platform replaces the one adapter of this port and
its line in the composition root.
"""

from collections.abc import Mapping
from typing import Protocol

from mimosapond.listed_host import ListedHost
from mimosapond.platform_results import (
    JsonValue,
    PlatformUnavailable,
    ReadRowResult,
    Row,
    WriteRowResult,
)


class PlatformPort(Protocol):
    """Calls never raise for an outage; they return ``PlatformUnavailable``."""

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Read one row; an absent row has revision 0."""

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        payload: Mapping[str, JsonValue],
        timeout_s: float,
    ) -> WriteRowResult:
        """Write a row if its revision is still the expected one."""

    async def list_rows(
        self,
        prefix: str,
        timeout_s: float,
    ) -> tuple[Row, ...] | PlatformUnavailable:
        """Read all rows whose key starts with ``prefix``."""

    async def list_hosts(
        self,
        timeout_s: float,
    ) -> tuple[ListedHost, ...] | PlatformUnavailable:
        """Read the host list."""

    async def register_host(
        self,
        host: ListedHost,
        timeout_s: float,
    ) -> PlatformUnavailable | None:
        """Add or change this host's own entry in the list."""
