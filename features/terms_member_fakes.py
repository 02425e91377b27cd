"""In-memory members of a database group: terms, logs and SQL on sqlite3."""

import asyncio
import sqlite3
from collections.abc import Sequence
from typing import Final, final

import attrs

from mimosapond.standing import PRIMARY_ROLE, REPLICA_ROLE, Standing
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult
from mimosapond.target_results import ControlResult, TargetRejected

SCHEMA: Final = (
    'CREATE TABLE notes (body TEXT);'
    'CREATE TABLE orders (number TEXT PRIMARY KEY);'
)


class SqlRejectedError(Exception):
    """SQL failed with a reason of the member protocol."""

    def __init__(self, reason: str, message: str) -> None:
        """Keep reason and message."""
        super().__init__(message)
        self.rejected = TargetRejected(reason, message)


@final
@attrs.frozen
class LogEntry:
    """Statements that one transaction committed."""

    term: int
    statements: tuple[Statement, ...]
    committed_s: float


def run_sql(
    database: sqlite3.Connection,
    statements: Sequence[Statement],
) -> tuple[StatementResult, ...]:
    """Run statements and return their results."""
    results = []
    for statement in statements:
        try:
            cursor = database.execute(statement.sql, statement.parameters)
        except sqlite3.IntegrityError as error:
            raise SqlRejectedError('unique_violation', str(error)) from error
        except sqlite3.Error as error:
            raise SqlRejectedError('sql_error', str(error)) from error
        columns = tuple(column[0] for column in cursor.description or ())
        rows = tuple(cursor.fetchall())
        results.append(StatementResult(columns, rows, max(0, cursor.rowcount)))
    return tuple(results)


@final
class FakeMember:
    """One member; ``cut_hosts`` can't reach it."""

    def __init__(self, name: str, clock_s: asyncio.AbstractEventLoop) -> None:
        """Start as a replica at term 0 with an empty log."""
        self.name = name
        self.role = REPLICA_ROLE
        self.term = 0
        self.granted_to: str | None = None
        self.matched_position = 0
        self.log: list[LogEntry] = []
        self.cut_hosts: set[str] = set()
        self.silent_links: set[str] = set()
        self.lag_s: float = 0
        self.loses_commit_answer = False
        self.held_commit: asyncio.Event | None = None
        self.held_answer: asyncio.Event | None = None
        self.held_controls: dict[str, asyncio.Event] = {}
        self._loop = clock_s

    @property
    def position(self) -> int:
        """Position of the last log entry."""
        return len(self.log)

    def standing(self) -> Standing:
        """Report terms and positions."""
        history: list[tuple[int, int]] = []
        for position, entry in enumerate(self.log, start=1):
            if not history or history[-1][0] != entry.term:
                history.append((entry.term, position))
        return Standing(
            member=self.name,
            group='forge-a',
            role=self.role,
            term=self.term,
            granted_to=self.granted_to,
            position=self.position,
            last_term=self.log[-1].term if self.log else 0,
            matched_position=self.matched_position,
            history=tuple(history),
        )

    def adopt(self, term: int, asker: str) -> ControlResult:
        """Grant a higher term, or the same one to the same asker."""
        if term < self.term or (
            term == self.term and self.granted_to not in {None, asker}
        ):
            return TargetRejected('term_taken', 'taken', self.standing())
        if term > self.term:
            self.role = REPLICA_ROLE
            self.matched_position = 0
        self.term = term
        self.granted_to = asker
        return self.standing()

    def promote(self, term: int, asker: str) -> ControlResult:
        """Lead a granted term with a start-of-term entry."""
        if (term, asker) != (self.term, self.granted_to):
            return TargetRejected('not_granted', 'other', self.standing())
        self.role = PRIMARY_ROLE
        self.append(())
        return self.standing()

    def append(self, statements: tuple[Statement, ...]) -> None:
        """Commit an entry as the primary."""
        entry = LogEntry(self.term, statements, self._loop.time())
        self.log.append(entry)
        self.matched_position = self.position

    def follow(self, primary: 'FakeMember') -> None:
        """Copy what is older than the lag from a primary of equal term."""
        if primary.term != self.term or primary.role != PRIMARY_ROLE:
            return
        now_s = self._loop.time()
        common = _common_count(self.log, primary.log)
        visible = sum(
            entry.committed_s <= now_s - self.lag_s for entry in primary.log
        )
        self.matched_position = max(common, visible)
        self.log = primary.log[: self.matched_position]

    def database(self) -> sqlite3.Connection:
        """Return a new database with the committed data."""
        database = sqlite3.connect(':memory:', isolation_level=None)
        database.executescript(SCHEMA)
        for entry in self.log:
            run_sql(database, entry.statements)
        return database

    def refuse_write(self, term: int) -> TargetRejected | None:
        """Check role and term of a write."""
        if term != self.term:
            return TargetRejected('term_mismatch', 'term', self.standing())
        if self.role != PRIMARY_ROLE:
            return TargetRejected('not_primary', 'role', self.standing())
        return None


def _common_count(one: list[LogEntry], other: list[LogEntry]) -> int:
    count = 0
    for left, right in zip(one, other, strict=False):
        if left is not right:
            break
        count += 1
    return count
