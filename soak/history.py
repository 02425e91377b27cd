"""What callers were told about their writes."""

import collections
import math
from collections.abc import Iterable, Mapping
from typing import Final, final

import attrs

from soak.violation import ViolationLog

_EMPTY: Final = '-'
_MARK: Final = '~'


@final
@attrs.frozen
class Write:
    """A write that a caller sent; an item has one writer, who counts up."""

    request_id: str
    item: str
    sequence: int

    @property
    def content(self) -> str:
        """What is written."""
        return f'{self.sequence}{_MARK}{self.request_id}'


def sequence_of(content: str) -> int:
    """Return the sequence number of what was read; 0 if nothing was there."""
    number = content.partition(_MARK)[0]
    return int(number) if number.isdecimal() else 0


@final
class History:
    """Acknowledged writes and those that must not be kept."""

    def __init__(self) -> None:
        """Start without writes."""
        self._acknowledged: dict[str, Write] = {}
        self._not_kept: dict[str, str] = {}
        self._times: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )

    @property
    def acknowledged_count(self) -> int:
        """Writes whose success was told."""
        return len(self._acknowledged)

    def acknowledge(self, writes: Iterable[Write], at_s: float) -> None:
        """Note writes whose success was told."""
        for write in writes:
            self._acknowledged[write.request_id] = write
            self._times[write.item].append((at_s, write.sequence))

    def deny(self, writes: Iterable[Write], reason: str) -> None:
        """Note writes that must not be kept."""
        for write in writes:
            self._not_kept[write.request_id] = reason

    def floor(self, item: str, before_s: float = math.inf) -> int:
        """Return the newest sequence number acknowledged before a time."""
        found = [
            sequence
            for at_s, sequence in self._times.get(item, ())
            if at_s < before_s
        ]
        return max(found, default=0)

    def check_kept(
        self,
        kept: Mapping[str, int],
        violations: ViolationLog,
    ) -> None:
        """Compare with the number of times that each request id is kept."""
        for request_id, write in self._acknowledged.items():
            count = kept.get(request_id, 0)
            if count != 1:
                detail = f'acknowledged, kept {count} times: {write.item}'
                rule = 'TWICE' if count else 'LOST'
                violations.add(rule, '', [request_id], detail)
        for request_id, reason in self._not_kept.items():
            if kept.get(request_id):
                detail = f'kept, although {reason}'
                violations.add('REFUSED', '', [request_id], detail)
