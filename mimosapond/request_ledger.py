"""SQL of the request ledger, which makes writes run at most once.

The table is in the target's own database, so that a row commits together with
the caller's statements.
"""

import json
from typing import Final, final

import attrs

from mimosapond.clock import Clock
from mimosapond.codec import decode, dump_json, encode
from mimosapond.ledger_row import LedgerRow, RowState
from mimosapond.request_id import MAX_AHEAD_MS, RETENTION_MS
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult

# Time after which a row is deleted. An id may be dated up to MAX_AHEAD_MS later
# than its row; the second MAX_AHEAD_MS covers the clock skew between two hosts.
_KEEP_MS: Final = RETENTION_MS + 2 * MAX_AHEAD_MS
_DELETE_BATCH_COUNT: Final = 200
_INSERT: Final = (
    'INSERT INTO mimosapond_requests'
    ' (request_id, state, answer, recorded_at_ms) VALUES (?, ?, ?, ?)'
)


@final
@attrs.frozen
class _StoredAnswer:
    results: tuple[StatementResult, ...]


@final
class RequestLedger:
    """Builds statements on ``mimosapond_requests`` and reads its rows."""

    def __init__(self, clock: Clock) -> None:
        """Use ``clock`` to date the rows."""
        self._clock = clock

    def create_table(self) -> Statement:
        """Return the statement that creates the table if it is absent."""
        return Statement(
            'CREATE TABLE IF NOT EXISTS mimosapond_requests'
            ' (request_id TEXT PRIMARY KEY, state TEXT NOT NULL,'
            ' answer TEXT, recorded_at_ms BIGINT NOT NULL)',
        )

    def insert(
        self,
        request_id: str,
        state: RowState,
        results: tuple[StatementResult, ...] = (),
    ) -> Statement:
        """Return an insert, which fails if the request id has a row."""
        return Statement(
            _INSERT,
            (request_id, state, _encode(results), self._clock.unix_ms()),
        )

    def complete(
        self,
        request_id: str,
        results: tuple[StatementResult, ...],
    ) -> Statement:
        """Return an update that stores the results of a request.

        The row is the one that the same transaction inserted.
        """
        return Statement(
            'UPDATE mimosapond_requests SET state = ?, answer = ?'
            ' WHERE request_id = ?',
            (RowState.COMPLETED, _encode(results), request_id),
        )

    def select(self, request_id: str) -> Statement:
        """Return the query for the row of a request id."""
        return Statement(
            'SELECT state, answer FROM mimosapond_requests'
            ' WHERE request_id = ?',
            (request_id,),
        )

    def delete_expired(self) -> Statement:
        """Return a delete of a small batch of rows whose ids are expired."""
        return Statement(
            'DELETE FROM mimosapond_requests WHERE request_id IN'
            ' (SELECT request_id FROM mimosapond_requests'
            ' WHERE recorded_at_ms < ? LIMIT ?)',
            (self._clock.unix_ms() - _KEEP_MS, _DELETE_BATCH_COUNT),
        )

    def is_full_batch(self, deleted: StatementResult) -> bool:
        """Return whether more expired rows may be left."""
        return deleted.changed >= _DELETE_BATCH_COUNT

    def row(self, selected: StatementResult) -> LedgerRow | None:
        """Decode the result of ``select``; None if there is no row."""
        if not selected.rows:
            return None
        state, answer = selected.rows[0]
        stored = decode(_StoredAnswer, json.loads(str(answer)))
        return LedgerRow(RowState(str(state)), stored.results)


def _encode(results: tuple[StatementResult, ...]) -> str:
    return dump_json(encode(_StoredAnswer(results)))
