"""The log of a group that is left after a run."""

import collections
import itertools
from collections.abc import Mapping, Sequence
from typing import Any, Final, final

import attrs

LEDGER_TABLE: Final = 'mimosapond_requests'
_CANCELLED: Final = 'cancelled'


@final
@attrs.frozen
class LoggedTransaction:
    """One log entry.

    Attributes
    ----------
    marks
        Mark of each statement of a caller, in order.
    request_ids, cancelled_ids
        Ids recorded as run or as cancelled by this entry.
    """

    position: int
    term: int
    marks: tuple[str, ...]
    request_ids: tuple[str, ...] = ()
    cancelled_ids: tuple[str, ...] = ()


@final
class SurvivingLog:
    """Finds transactions by their mark."""

    def __init__(
        self,
        group: str,
        entries: Sequence[LoggedTransaction],
    ) -> None:
        """Take the entries in order; the first has position 1."""
        self.group = group
        self.entries = entries
        self.positions: Mapping[str, list[int]] = collections.defaultdict(list)
        for one in entries:
            for mark in set(one.marks):
                self.positions[mark].append(one.position)
        self.cancelled_ids = frozenset(
            itertools.chain.from_iterable(
                entry.cancelled_ids for entry in entries
            )
        )

    def holds(self, term: int, position: int) -> bool:
        """Tell whether the entry with this term and position is left."""
        if position > len(self.entries):
            return False
        return self.entries[position - 1].term == term

    def was_replaced(self, term: int) -> bool:
        """Tell whether a term higher than ``term`` followed."""
        return self.entries[-1].term > term

    def has_mark(self, mark: str) -> bool:
        """Tell whether a transaction with ``mark`` is left."""
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
        if LEDGER_TABLE not in statement['sql']:
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
