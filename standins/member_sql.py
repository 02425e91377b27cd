"""Execution of SQL statements with sqlite3 for the member stand-in."""

import re
import sqlite3
from collections.abc import Sequence
from typing import Any, Final

from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult

_COST_HINT: Final = re.compile(r'/\*\s*cost_ms=(\d+)\s*\*/')
_FIRST_WORD: Final = re.compile(r'(?:\s|/\*.*?\*/|--[^\n]*\n)*(\w*)', re.DOTALL)
# Statements that would change transactions or write protection, which the
# member controls itself.
_RESERVED_WORDS: Final = frozenset(
    (
        'attach',
        'begin',
        'commit',
        'detach',
        'end',
        'pragma',
        'release',
        'rollback',
        'savepoint',
        'vacuum',
    )
)
_UNIQUE_CODES: Final = frozenset(
    (
        sqlite3.SQLITE_CONSTRAINT_PRIMARYKEY,
        sqlite3.SQLITE_CONSTRAINT_ROWID,
        sqlite3.SQLITE_CONSTRAINT_UNIQUE,
    )
)


def cost_ms(statements: Sequence[Statement]) -> int:
    """Return the sum of the cost hints, in milliseconds."""
    return sum(
        int(hint)
        for statement in statements
        for hint in _COST_HINT.findall(statement.sql)
    )


def run_statements(
    connection: sqlite3.Connection,
    statements: Sequence[Statement],
) -> tuple[StatementResult, ...]:
    """Run statements in order.

    Raises
    ------
    RejectedCallError
        With the reason ``sql_error`` or ``unique_violation``. The statements
        before the failed one are not undone; the caller has to roll back.
    """
    try:
        return tuple(_run(connection, statement) for statement in statements)
    except sqlite3.IntegrityError as error:
        is_unique = error.sqlite_errorcode in _UNIQUE_CODES
        reason = 'unique_violation' if is_unique else 'sql_error'
        raise RejectedCallError(reason, str(error)) from error
    except (sqlite3.Error, sqlite3.Warning, OverflowError) as fault:
        raise RejectedCallError('sql_error', str(fault)) from fault


def _run(
    connection: sqlite3.Connection,
    statement: Statement,
) -> StatementResult:
    first_word = _FIRST_WORD.match(statement.sql)
    if first_word and first_word.group(1).lower() in _RESERVED_WORDS:
        raise sqlite3.ProgrammingError(f'{first_word.group(1)} is reserved')
    cursor = connection.execute(statement.sql, statement.parameters)
    rows = tuple(
        tuple(_plain(cell) for cell in row) for row in cursor.fetchall()
    )
    columns = tuple(column[0] for column in cursor.description or ())
    return StatementResult(columns, rows, max(cursor.rowcount, 0))


def _plain(cell: Any) -> Any:
    # JSON has no byte strings, so they are returned as hexadecimal text.
    return cell.hex() if isinstance(cell, bytes) else cell
