"""Rows of the table store, their versions and their history."""

import time
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

import attrs

_MS_PER_S: Final = 1000
_LIMIT_COUNT: Final = 500
_PART_LIMIT_COUNT: Final = 1000

Place: TypeAlias = tuple[str, str, str]
Answer: TypeAlias = tuple[HTTPStatus, Mapping[str, Any]]


@final
@attrs.frozen
class _Row:
    value: str | None
    version: int


@final
class TableRows:
    """Rows by table, part and key; a dropped row keeps its version."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[Place, _Row] = {}
        self._version = 0
        self._oldest_version = 0
        # Added to the steady clock; tests let time pass by it.
        self.clock_offset_ms = 0

    @property
    def clock_ms(self) -> int:
        """The store's steady clock."""
        return int(time.monotonic() * _MS_PER_S) + self.clock_offset_ms

    def put(self, place: Place, value: str | None) -> None:
        """Write a row without a condition; None drops it."""
        self._version += 1
        self._rows[place] = _Row(value, self._version)

    def forget_history(self) -> None:
        """Let feeds from earlier versions fail."""
        self._version += 1
        self._oldest_version = self._version

    def is_forgotten(self, version: int) -> bool:
        """Return whether the changes since a version are no longer kept."""
        return version < self._oldest_version

    def get(self, query: Mapping[str, str]) -> Answer:
        """Answer with the rows of a part, in ascending order of keys."""
        place = query['table'], query.get('part', '')
        first, end = query.get('from', ''), query.get('to')
        limit_count = int(query.get('limit', _LIMIT_COUNT))
        found = [
            _shown(key, self._rows[key])
            for key in sorted(self._rows)
            if key[:2] == place
            and self._rows[key].value is not None
            and key[2] >= first
            and (end is None or key[2] < end)
        ]
        has_more = len(found) > limit_count
        body = self.body(found[:limit_count])
        return HTTPStatus.OK, {**body, 'has_more': has_more}

    def parts(self, query: Mapping[str, str]) -> Answer:
        """Answer with the parts of a table."""
        after = query.get('after')
        found = {
            place[1]
            for place, row in self._rows.items()
            if place[0] == query['table'] and row.value is not None
        }
        parts = sorted(part for part in found if after is None or part > after)
        return HTTPStatus.OK, {'parts': parts[:_PART_LIMIT_COUNT]}

    def changes(self, table: str, after: int) -> list[Mapping[str, Any]]:
        """Return the rows that changed after a version, in order."""
        found = [
            _shown(place, row)
            for place, row in self._rows.items()
            if place[0] == table and row.version > after
        ]
        return sorted(found, key=lambda row: int(row['ver']))

    def transact(self, body: Mapping[str, Any]) -> Answer:
        """Apply all entries of a call or none."""
        failed = [
            entry
            for entry in body['expect_rev']
            if self._version_of(entry) != entry['ver']
        ]
        if failed:
            present = [
                _shown(_place(entry), self._rows[_place(entry)])
                for entry in body['expect_rev']
                if self._version_of(entry)
            ]
            return HTTPStatus.PRECONDITION_FAILED, self.body(present)
        self._version += 1
        for entry in body['set_keys']:
            self._rows[_place(entry)] = _Row(entry['value'], self._version)
        for entry in body['remove']:
            self._rows[_place(entry)] = _Row(None, self._version)
        return HTTPStatus.OK, self.body([])

    def body(self, rows: Sequence[Mapping[str, Any]]) -> Mapping[str, Any]:
        """Return the body of an answer about rows."""
        return {'rows': rows, 'ver': self._version, 'now_ms': self.clock_ms}

    def _version_of(self, entry: Mapping[str, Any]) -> int:
        row = self._rows.get(_place(entry))
        return 0 if row is None or row.value is None else row.version


def _place(entry: Mapping[str, Any]) -> Place:
    return entry['table'], entry['part'], entry['key']


def _shown(place: Place, row: _Row) -> Mapping[str, Any]:
    table, part, key = place
    shown = {'table': table, 'part': part, 'key': key, 'ver': row.version}
    if row.value is None:
        return {**shown, 'deleted': True}
    return {**shown, 'value': row.value}
