"""Statements whose effects show which requests ran, and how completely."""

from collections.abc import Sequence
from typing import Final

from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult

# The marks have no unique key, so that a request that runs twice adds rows
# instead of failing.
WORKLOAD_SCHEMA: Final = (
    'CREATE TABLE entries (mark TEXT, part INTEGER)',
    'CREATE TABLE sessions (name TEXT PRIMARY KEY, sequence INTEGER)',
    'CREATE TABLE pairs (name TEXT PRIMARY KEY, mark TEXT)',
)
# Number of logged statements of a write in addition to its entries.
FIXED_PART_COUNT: Final = 3
_COST_MS: Final = 4


def select_nonce(mark: str) -> Statement:
    """Return a statement whose result is ``mark``."""
    return Statement('SELECT ? AS nonce', (mark,))


def insert_entry(mark: str, part: int) -> Statement:
    """Return a statement that adds a row and costs a few milliseconds."""
    sql = f'INSERT INTO entries (mark, part) /* cost_ms={_COST_MS} */'
    return Statement(f'{sql} VALUES (?, ?)', (mark, part))


def upsert_sequence(mark: str, session: str, sequence: int) -> Statement:
    """Return a statement that stores the newest sequence of a session.

    It keeps the maximum, so that a late attempt of an earlier write doesn't
    hide a later write.
    """
    return Statement(
        'INSERT INTO sessions (name, sequence)'
        ' SELECT name, sequence FROM (SELECT ? AS mark, ? AS name,'
        ' ? AS sequence) WHERE true ON CONFLICT (name)'
        ' DO UPDATE SET sequence = max(sequence, excluded.sequence)',
        (mark, session, sequence),
    )


def upsert_pair_row(mark: str, name: str) -> Statement:
    """Return a statement that changes one of the two rows of the pair.

    Each write stores its mark in both rows, ``left`` and ``right``.
    """
    return Statement(
        'INSERT INTO pairs (mark, name) VALUES (?, ?)'
        ' ON CONFLICT (name) DO UPDATE SET mark = excluded.mark',
        (mark, name),
    )


def write_statements(
    mark: str,
    session: str,
    sequence: int,
    entry_count: int,
) -> tuple[Statement, ...]:
    """Return all statements of a write.

    The rows of the pair are written before and after the other rows, so that
    an incomplete transaction leaves different marks in them.
    """
    entries = [insert_entry(mark, part) for part in range(entry_count)]
    return (
        select_nonce(mark),
        upsert_pair_row(mark, 'left'),
        *entries,
        upsert_sequence(mark, session, sequence),
        upsert_pair_row(mark, 'right'),
    )


def read_statements(nonce: str) -> tuple[Statement, ...]:
    """Return statements that read the nonce, the sequences and the pair."""
    return (
        select_nonce(nonce),
        Statement('SELECT name, sequence FROM sessions'),
        Statement('SELECT mark FROM pairs ORDER BY name'),
    )


def parse_sequences(results: Sequence[StatementResult]) -> dict[str, int]:
    """Return the newest sequence that a read saw, by session."""
    return {str(name): int(str(sequence)) for name, sequence in results[1].rows}


def parse_pair(results: Sequence[StatementResult]) -> tuple[str, ...]:
    """Return the marks of the pair.

    A missing row has the mark ``''``, so that a single row is detected as an
    incomplete transaction.
    """
    marks = tuple(str(row[0]) for row in results[2].rows)
    return (*marks, '') if len(marks) == 1 else marks


def parse_nonce(
    results: Sequence[StatementResult],
    statement_count: int,
) -> tuple[str, ...]:
    """Return the nonce of an answer, or ``''`` for an incomplete answer.

    An answer is incomplete if it doesn't have ``statement_count`` results or
    the first one has no row.
    """
    if len(results) != statement_count or not results[0].rows:
        return ('',)
    return (str(results[0].rows[0][0]),)
