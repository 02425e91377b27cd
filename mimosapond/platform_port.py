"""Port for the platform's table service and host list.

To use another platform, replace the adapter of this port and the line in the
composition root that creates it.
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
    """Client of the platform.

    During an outage the calls return ``PlatformUnavailable`` instead of raising
    an error.
    """

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Read one row; an absent row has revision 0 and no payload."""

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        payload: Mapping[str, JsonValue],
        timeout_s: float,
    ) -> WriteRowResult:
        """Write a row if its current revision is the expected one."""

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
        """Add or change the entry of this host in the list.

        Returns
        -------
        PlatformUnavailable | None
            None if the entry was written.
        """
