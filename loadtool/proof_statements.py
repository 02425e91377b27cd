"""Statements whose effects show which requests ran, and whole or not."""

from collections.abc import Sequence
from typing import Final

from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult

# No key on the marks: a second run must leave a trace, not fail.
PROOF_SCHEMA: Final = (
    'CREATE TABLE entries (mark TEXT, part INTEGER)',
    'CREATE TABLE sessions (name TEXT PRIMARY KEY, sequence INTEGER)',
    'CREATE TABLE pairs (name TEXT PRIMARY KEY, mark TEXT)',
)
# Statements of a write that are logged besides its entries.
FIXED_PART_COUNT: Final = 3
_COST_MS: Final = 4


def ask_nonce(mark: str) -> Statement:
    """Return the mark to the caller with the answer."""
    return Statement('SELECT ? AS nonce', (mark,))


def insert_entry(mark: str, part: int) -> Statement:
    """Add one row; it takes a few milliseconds of a slot."""
    sql = f'INSERT INTO entries (mark, part) /* cost_ms={_COST_MS} */'
    return Statement(f'{sql} VALUES (?, ?)', (mark, part))


def note_sequence(mark: str, session: str, sequence: int) -> Statement:
    """Record the newest write of a session.

    A late try of an earlier write must not hide a later one, hence ``max``.
    """
    return Statement(
        'INSERT INTO sessions (name, sequence)'
        ' SELECT name, sequence FROM (SELECT ? AS mark, ? AS name,'
        ' ? AS sequence) WHERE true ON CONFLICT (name)'
        ' DO UPDATE SET sequence = max(sequence, excluded.sequence)',
        (mark, session, sequence),
    )


def mark_pair(mark: str, name: str) -> Statement:
    """Change one of the two rows that always bear the same mark."""
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
    """Return all statements of a write, the left pair row first."""
    entries = [insert_entry(mark, part) for part in range(entry_count)]
    return (
        ask_nonce(mark),
        mark_pair(mark, 'left'),
        *entries,
        note_sequence(mark, session, sequence),
        mark_pair(mark, 'right'),
    )


def read_statements(nonce: str) -> tuple[Statement, ...]:
    """Return the statements of a read."""
    return (
        ask_nonce(nonce),
        Statement('SELECT name, sequence FROM sessions'),
        Statement('SELECT mark FROM pairs ORDER BY name'),
    )


def parse_sequences(found: Sequence[StatementResult]) -> dict[str, int]:
    """Return the newest write of each session that a read saw."""
    return {str(name): int(str(number)) for name, number in found[1].rows}


def parse_pair(found: Sequence[StatementResult]) -> tuple[str, ...]:
    """Return the marks of the pair; one row alone is a torn write."""
    marks = tuple(str(row[0]) for row in found[2].rows)
    return (*marks, '') if len(marks) == 1 else marks


def parse_nonce(
    found: Sequence[StatementResult],
    statement_count: int,
) -> tuple[str, ...]:
    """Return the nonce; an answer of another length has an empty one."""
    if len(found) != statement_count or not found[0].rows:
        return ('',)
    return (str(found[0].rows[0][0]),)
