"""Two SQLite databases of one member.

Reads run on committed data in one database. The open write transaction, of
which there is at most one, runs in the other. A reader never sees uncommitted
rows.
"""

import sqlite3
from collections.abc import Iterable, Sequence
from typing import final

from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult
from standins.log_entry import LogEntry
from standins.member_sql import run_statements


def _open() -> sqlite3.Connection:
    return sqlite3.connect(':memory:', isolation_level=None)


@final
class MemberDatabase:
    """Committed data and the open write transaction."""

    def __init__(self) -> None:
        """Start with two empty databases."""
        self._committed = _open()
        self._working = _open()
        self._forbid_writes()

    def read(
        self,
        statements: Sequence[Statement],
    ) -> tuple[StatementResult, ...]:
        """Run statements on committed data; a write is an SQL error."""
        return run_statements(self._committed, statements)

    def begin(self) -> None:
        """Open the write transaction."""
        self._working.execute('BEGIN')

    def write(
        self,
        statements: Sequence[Statement],
    ) -> tuple[StatementResult, ...]:
        """Run statements in the open write transaction."""
        return run_statements(self._working, statements)

    def commit(self, entry: LogEntry) -> None:
        """Commit the open transaction, whose statements are in ``entry``."""
        self._working.execute('COMMIT')
        self._committed.execute('PRAGMA query_only = 0')
        self._apply_to(self._committed, entry)
        self._forbid_writes()

    def rollback(self) -> None:
        """Roll the open transaction back."""
        # A conflict clause of a statement may have ended the transaction.
        if self._working.in_transaction:
            self._working.execute('ROLLBACK')

    def apply(self, entry: LogEntry) -> None:
        """Apply an entry that another member committed."""
        self._working.execute('BEGIN')
        run_statements(self._working, entry.statements)
        self.commit(entry)

    def rebuild(self, entries: Iterable[LogEntry]) -> None:
        """Replace all data by replaying ``entries``."""
        self._committed.close()
        self._working.close()
        self._committed = _open()
        self._working = _open()
        for entry in entries:
            self.apply(entry)
        self._forbid_writes()

    def _apply_to(
        self,
        connection: sqlite3.Connection,
        entry: LogEntry,
    ) -> None:
        connection.execute('BEGIN')
        run_statements(connection, entry.statements)
        connection.execute('COMMIT')

    def _forbid_writes(self) -> None:
        self._committed.execute('PRAGMA query_only = 1')
