"""Checks of SQL texts and parameters that go beyond their types."""

import math
from collections.abc import Iterator, Sequence
from typing import Final

from mimosapond.field_faults import FieldFault
from mimosapond.statement import SqlValue, Statement

# Table of request ids in the targets. Statements of callers must not change it,
# or a request could run twice.
REQUEST_TABLE: Final = 'mimosapond_requests'
STATEMENT_LIMIT_COUNT: Final = 1000
# Exclusive upper bound of signed 64-bit integers.
_INTEGER_END: Final = 2**63


def statement_faults(statements: Sequence[Statement]) -> Iterator[FieldFault]:
    """Find statements and values that no target accepts.

    Parameters
    ----------
    statements
        Decoded statements of one request.

    Yields
    ------
    FieldFault
        Path of the field and its problem.
    """
    if len(statements) > STATEMENT_LIMIT_COUNT:
        problem = f'expected at most {STATEMENT_LIMIT_COUNT}'
        yield FieldFault('statements', problem)
    for index, statement in enumerate(statements):
        path = f'statements[{index}]'
        if not statement.sql.strip():
            yield FieldFault(f'{path}.sql', 'expected an SQL text, got none')
        if not _is_unicode(statement.sql):
            yield FieldFault(f'{path}.sql', 'it has unpaired surrogates')
        if REQUEST_TABLE in statement.sql.casefold():
            problem = f'{REQUEST_TABLE} belongs to the proxy'
            yield FieldFault(f'{path}.sql', problem)
        for number, content in enumerate(statement.parameters):
            problem = _describe_problem(content)
            if problem:
                yield FieldFault(f'{path}.parameters[{number}]', problem)


def _describe_problem(content: SqlValue) -> str:
    match content:
        case str() if not _is_unicode(content):
            return 'it has unpaired surrogates'
        # JSON numbers have no upper limit, and Python parses 1e999 as infinity.
        case float() if not math.isfinite(content):
            return 'the number is too large'
        case int() if not -_INTEGER_END <= content < _INTEGER_END:
            return 'the integer has more than 64 bits'
        case _:
            return ''


def _is_unicode(text: str) -> bool:
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
