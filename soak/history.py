"""History of writes and of the outcomes that callers received."""

import collections
import math
from collections.abc import Iterable, Mapping
from typing import Final, final

import attrs

from soak.violation import ViolationLog

_EMPTY: Final = '-'
_SEPARATOR: Final = '~'


@final
@attrs.frozen
class Write:
    """A write that a caller sent.

    Attributes
    ----------
    sequence
        Number that rises with each write of the session. Each item is written
        by one session only, so a higher number is a newer value.
    """

    request_id: str
    item: str
    sequence: int

    @property
    def content(self) -> str:
        """Value that the write stores in the item."""
        return f'{self.sequence}{_SEPARATOR}{self.request_id}'


def sequence_of(content: str) -> int:
    """Return the sequence number in a value; 0 if the item was not written."""
    number = content.partition(_SEPARATOR)[0]
    return int(number) if number.isdecimal() else 0


@final
class History:
    """Acknowledged writes and writes that must not be committed."""

    def __init__(self) -> None:
        """Create an empty history."""
        self._acknowledged: dict[str, Write] = {}
        self._acknowledged_s: dict[str, float] = {}
        self._not_applied: dict[str, str] = {}
        self._acknowledgements: dict[str, list[tuple[float, int]]] = (
            collections.defaultdict(list)
        )

    @property
    def acknowledged_count(self) -> int:
        """Number of writes that were acknowledged to their caller."""
        return len(self._acknowledged)

    def record_acknowledged(self, writes: Iterable[Write], at_s: float) -> None:
        """Record writes that were acknowledged to their caller at ``at_s``."""
        for write in writes:
            self._acknowledged[write.request_id] = write
            self._acknowledged_s[write.request_id] = at_s
            self._acknowledgements[write.item].append((at_s, write.sequence))

    def record_not_applied(self, writes: Iterable[Write], reason: str) -> None:
        """Record writes that must not be committed.

        Parameters
        ----------
        reason
            Why the writes must not be committed, for the report of a violation.
        """
        for write in writes:
            self._not_applied[write.request_id] = reason

    def acknowledged_s(self, request_id: str) -> float:
        """Return when a write was acknowledged; inf if it was not."""
        return self._acknowledged_s.get(request_id, math.inf)

    def newest_acknowledged(self, item: str, before_s: float = math.inf) -> int:
        """Return the highest sequence number acknowledged before ``before_s``.

        The result is 0 if no write of the item was acknowledged until then.
        """
        found = [
            sequence
            for at_s, sequence in self._acknowledgements.get(item, ())
            if at_s < before_s
        ]
        return max(found, default=0)

    def check_committed(
        self,
        commit_counts: Mapping[str, int],
        violations: ViolationLog,
    ) -> None:
        """Report lost, duplicated and wrongly committed writes.

        Parameters
        ----------
        commit_counts
            Number of commits by request id, from the log of the members.
        violations
            Receives the violations.
        """
        for request_id, write in self._acknowledged.items():
            count = commit_counts.get(request_id, 0)
            if count != 1:
                detail = f'acknowledged, committed {count} times: {write.item}'
                rule = 'TWICE' if count else 'LOST'
                violations.add(rule, '', [request_id], detail)
        for request_id, reason in self._not_applied.items():
            if commit_counts.get(request_id):
                detail = f'committed, although {reason}'
                violations.add('REFUSED', '', [request_id], detail)
