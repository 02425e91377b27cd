"""Rows of the table store with their versions."""

import time
from collections.abc import Mapping, Sequence
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

import attrs

_MS_PER_S: Final = 1000
_LIMIT_COUNT: Final = 500
_PART_LIMIT_COUNT: Final = 1000

RowKey: TypeAlias = tuple[str, str, str]
Answer: TypeAlias = tuple[HTTPStatus, Mapping[str, Any]]


@final
@attrs.frozen
class _Row:
    value: str | None
    version: int


@final
class TableRows:
    """Rows by table, part and key; a deleted row keeps its version."""

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[RowKey, _Row] = {}
        self._version = 0
        self._oldest_version = 0
        # Added to the monotonic clock, so that tests can advance the time.
        self.clock_offset_ms = 0

    @property
    def clock_ms(self) -> int:
        """Monotonic clock of the store, in milliseconds."""
        return int(time.monotonic() * _MS_PER_S) + self.clock_offset_ms

    def put(self, place: RowKey, value: str | None) -> None:
        """Write a row unconditionally; None deletes it."""
        self._version += 1
        self._rows[place] = _Row(value, self._version)

    def forget_history(self) -> None:
        """Discard the change history; feeds from earlier versions fail."""
        self._version += 1
        self._oldest_version = self._version

    def is_forgotten(self, version: int) -> bool:
        """Return whether the changes since a version are no longer kept."""
        return version < self._oldest_version

    def get(self, query: Mapping[str, str]) -> Answer:
        """Return the rows of a part in ascending order of keys.

        Parameters
        ----------
        query
            ``table``, and optionally ``part``, ``from`` (inclusive), ``to``
            (exclusive) and ``limit``.
        """
        place = query['table'], query.get('part', '')
        first, end = query.get('from', ''), query.get('to')
        limit_count = int(query.get('limit', _LIMIT_COUNT))
        found = [
            _encode_row(key, self._rows[key])
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
        """Return the names of the parts of a table, in ascending order."""
        after = query.get('after')
        found = {
            place[1]
            for place, row in self._rows.items()
            if place[0] == query['table'] and row.value is not None
        }
        parts = sorted(part for part in found if after is None or part > after)
        return HTTPStatus.OK, {'parts': parts[:_PART_LIMIT_COUNT]}

    def changes(self, table: str, after: int) -> list[Mapping[str, Any]]:
        """Return the rows changed after a version, in order of version."""
        found = [
            _encode_row(place, row)
            for place, row in self._rows.items()
            if place[0] == table and row.version > after
        ]
        return sorted(found, key=lambda row: int(row['ver']))

    def transact(self, body: Mapping[str, Any]) -> Answer:
        """Apply all changes, or none if an expected version differs.

        A mismatch is answered with the current rows that were expected.
        """
        failed = [
            entry
            for entry in body['expect_rev']
            if self._version_of(entry) != entry['ver']
        ]
        if failed:
            present = [
                _encode_row(_row_key(entry), self._rows[_row_key(entry)])
                for entry in body['expect_rev']
                if self._version_of(entry)
            ]
            return HTTPStatus.PRECONDITION_FAILED, self.body(present)
        self._version += 1
        for entry in body['set_keys']:
            self._rows[_row_key(entry)] = _Row(entry['value'], self._version)
        for entry in body['remove']:
            self._rows[_row_key(entry)] = _Row(None, self._version)
        return HTTPStatus.OK, self.body([])

    def body(self, rows: Sequence[Mapping[str, Any]]) -> Mapping[str, Any]:
        """Return an answer body with rows, current version and clock."""
        return {'rows': rows, 'ver': self._version, 'now_ms': self.clock_ms}

    def _version_of(self, entry: Mapping[str, Any]) -> int:
        row = self._rows.get(_row_key(entry))
        return 0 if row is None or row.value is None else row.version


def _row_key(entry: Mapping[str, Any]) -> RowKey:
    return entry['table'], entry['part'], entry['key']


def _encode_row(place: RowKey, row: _Row) -> Mapping[str, Any]:
    table, part, key = place
    encoded = {'table': table, 'part': part, 'key': key, 'ver': row.version}
    if row.value is None:
        return {**encoded, 'deleted': True}
    return {**encoded, 'value': row.value}
