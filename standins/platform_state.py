"""Rows, objects, hosts, faults and counters of the platform stand-in."""

import time
from collections import Counter
from typing import Any, Final, final

import attrs

from mimosapond.clock import MS_PER_S
from mimosapond.codec import encode
from mimosapond.listed_host import ListedHost
from standins.platform_faults import PlatformFaults
from standins.platform_row import PlatformRow


@final
class PlatformState:
    """State in memory; each method is atomic for the tasks of the process."""

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.faults = PlatformFaults()
        self.objects: Final[dict[str, bytes]] = {}
        self.counters: Final[Counter[str]] = Counter()
        self._rows: dict[str, PlatformRow] = {}
        self._host_changes: list[tuple[float, ListedHost]] = []

    def row(self, key: str) -> PlatformRow:
        """Return a row; a missing row has revision 0."""
        return self._rows.get(key, PlatformRow(key))

    def rows(self, prefix: str) -> list[PlatformRow]:
        """Return the rows whose key starts with ``prefix``, in key order."""
        return [
            self._rows[key]
            for key in sorted(self._rows)
            if key.startswith(prefix)
        ]

    def compare_and_set(self, key: str, expected: int, value: Any) -> bool:
        """Write a row if its revision is ``expected``, else return False."""
        if self.row(key).revision != expected:
            self.counters['conflicts'] += 1
            return False
        self._rows[key] = PlatformRow(key, expected + 1, value)
        return True

    def put_host(self, host: ListedHost) -> None:
        """Change a host; the list shows it after the lag."""
        self._host_changes.append((time.monotonic(), host))

    def hosts(self) -> list[dict[str, Any]]:
        """Return the list as it was ``hosts_lag_ms`` ago."""
        lag_s = self.faults.hosts_lag_ms / MS_PER_S
        cutoff_s = time.monotonic() - lag_s
        listed = {
            host.host_id: encode(host)
            for changed_s, host in self._host_changes
            if changed_s <= cutoff_s
        }
        return list(listed.values())

    def take_lost_answer(self) -> bool:
        """Return whether the answer of the current write is to be lost.

        A lost answer is counted and reduces ``lose_answers`` by 1.
        """
        remaining = self.faults.lose_answers
        if not remaining:
            return False
        self.faults = attrs.evolve(self.faults, lose_answers=remaining - 1)
        self.counters['lost_answers'] += 1
        return True
