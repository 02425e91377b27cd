"""The database log of a group after a run."""

import collections
import itertools
from collections.abc import Mapping, Sequence
from typing import Any, Final, final

import attrs

REQUEST_TABLE: Final = 'mimosapond_requests'
_CANCELLED: Final = 'cancelled'


@final
@attrs.frozen
class LoggedTransaction:
    """One committed transaction in the log.

    Attributes
    ----------
    marks
        Mark of each statement from a caller, in order.
    request_ids, cancelled_ids
        Request ids that this entry records as run and as cancelled.
    """

    position: int
    term: int
    marks: tuple[str, ...]
    request_ids: tuple[str, ...] = ()
    cancelled_ids: tuple[str, ...] = ()


@final
class SurvivingLog:
    """Log of a database group with an index by mark.

    Attributes
    ----------
    positions
        Positions of the entries that contain a mark.
    """

    def __init__(
        self,
        group: str,
        entries: Sequence[LoggedTransaction],
    ) -> None:
        """Index ``entries``, which are in order and start at position 1."""
        self.group = group
        self.entries = entries
        self.positions: Mapping[str, list[int]] = collections.defaultdict(list)
        for entry in entries:
            for mark in set(entry.marks):
                self.positions[mark].append(entry.position)
        self.cancelled_ids = frozenset(
            itertools.chain.from_iterable(
                logged.cancelled_ids for logged in entries
            )
        )

    def has_entry(self, term: int, position: int) -> bool:
        """Tell whether the entry at ``position`` has ``term``."""
        if position > len(self.entries):
            return False
        return self.entries[position - 1].term == term

    def has_newer_term(self, term: int) -> bool:
        """Tell whether the last entry has a term higher than ``term``."""
        return self.entries[-1].term > term

    def has_mark(self, mark: str) -> bool:
        """Tell whether the log contains a transaction with ``mark``."""
        return mark in self.positions


def parse_log(group: str, entries: Sequence[Mapping[str, Any]]) -> SurvivingLog:
    """Build the log from the answer of a member's ``GET /admin/log``."""
    return SurvivingLog(group, [_parse_entry(entry) for entry in entries])


def _parse_entry(entry: Mapping[str, Any]) -> LoggedTransaction:
    marks: list[str] = []
    ids: dict[bool, list[str]] = {True: [], False: []}
    for statement in entry['statements']:
        parameters = statement['parameters']
        if not parameters:
            continue
        if REQUEST_TABLE not in statement['sql']:
            marks.append(str(parameters[0]))
        elif statement['sql'].startswith('INSERT'):
            ids[parameters[1] == _CANCELLED].append(str(parameters[0]))
    return LoggedTransaction(
        position=entry['position'],
        term=entry['term'],
        marks=tuple(marks),
        request_ids=tuple(ids[False]),
        cancelled_ids=tuple(ids[True]),
    )
