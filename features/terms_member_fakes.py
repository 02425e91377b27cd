"""Fake members of a database group, with logs in memory and SQL in sqlite3."""

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
    """SQL was rejected with a reason of the member protocol."""

    def __init__(self, reason: str, message: str) -> None:
        """Create the error for a reason of the member protocol."""
        super().__init__(message)
        self.rejected = TargetRejected(reason, message)


@final
@attrs.frozen
class LogEntry:
    """Statements of one committed transaction."""

    term: int
    statements: tuple[Statement, ...]
    committed_s: float


def run_sql(
    database: sqlite3.Connection,
    statements: Sequence[Statement],
) -> tuple[StatementResult, ...]:
    """Run statements and return their results.

    Raises
    ------
    SqlRejectedError
        A statement violates a constraint or is not valid.
    """
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
    """One member of the group.

    Attributes
    ----------
    cut_hosts
        Ids of the hosts that cannot reach the member.
    silent_links
        Ids of the hosts whose pooled connection no longer gets an answer. A new
        connection works.
    lag_s
        Replication lag of the member.
    loses_commit_answer
        Whether the answer to the next commit is lost.
    held_commit
        If set, commits wait for this event before they take effect.
    held_answer
        If set, answers to commits wait for this event.
    held_controls
        Events that answers to control calls wait for, by the caller's host id.
    """

    def __init__(self, name: str, loop: asyncio.AbstractEventLoop) -> None:
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
        self._loop = loop

    @property
    def position(self) -> int:
        """Position of the last log entry."""
        return len(self.log)

    def standing(self) -> Standing:
        """Return role, terms and log positions."""
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
        """Grant a higher term, or the current term again to the same host."""
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
        """Become the primary of a granted term and append its first entry."""
        if (term, asker) != (self.term, self.granted_to):
            return TargetRejected('not_granted', 'other', self.standing())
        self.role = PRIMARY_ROLE
        self.append(())
        return self.standing()

    def append(self, statements: tuple[Statement, ...]) -> None:
        """Append an entry to the log as the primary."""
        entry = LogEntry(self.term, statements, self._loop.time())
        self.log.append(entry)
        self.matched_position = self.position

    def follow(self, primary: 'FakeMember') -> None:
        """Copy the entries older than the lag from a primary of the same term."""
        if primary.term != self.term or primary.role != PRIMARY_ROLE:
            return
        now_s = self._loop.time()
        common = _common_prefix_count(self.log, primary.log)
        visible = sum(
            entry.committed_s <= now_s - self.lag_s for entry in primary.log
        )
        self.matched_position = max(common, visible)
        self.log = primary.log[: self.matched_position]

    def database(self) -> sqlite3.Connection:
        """Return a new database that contains all committed data."""
        database = sqlite3.connect(':memory:', isolation_level=None)
        database.executescript(SCHEMA)
        for entry in self.log:
            run_sql(database, entry.statements)
        return database

    def refuse_write(self, term: int) -> TargetRejected | None:
        """Return the rejection of a write at ``term``; None if it may run."""
        if term != self.term:
            return TargetRejected('term_mismatch', 'term', self.standing())
        if self.role != PRIMARY_ROLE:
            return TargetRejected('not_primary', 'role', self.standing())
        return None


def _common_prefix_count(one: list[LogEntry], other: list[LogEntry]) -> int:
    count = 0
    for left, right in zip(one, other, strict=False):
        if left is not right:
            break
        count += 1
    return count
