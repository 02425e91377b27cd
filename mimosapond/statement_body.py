"""Request body of ``mimosapond statement``."""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from mimosapond.request_id import RequestId


class BadOptionError(Exception):
    """An option of the command is invalid; the text says why."""


def _parse_flag(text: str) -> bool:
    if text not in {'True', 'False'}:
        raise ValueError('give the option without a value')
    return text == 'True'


# Parsers of the options; each option is a field of POST /v1/statements.
_OPTION_PARSERS: Final[Mapping[str, Callable[[str], Any]]] = MappingProxyType(
    {
        'mode': str,
        'work_class': str,
        'token': str,
        'session_id': str,
        'durability': str,
        'request_id': str,
        'deadline_ms': int,
        'max_age_ms': int,
        'repeatable': _parse_flag,
        'is_long': _parse_flag,
        'parameters': json.loads,
    }
)


def statement_body(
    target: Mapping[str, str],
    sql: str,
    options: Mapping[str, str],
    now_unix_ms: int,
) -> dict[str, Any]:
    """Build the request body for one statement.

    Parameters
    ----------
    target
        Fields that select the service and the workspace.
    sql
        Text of the statement.
    options
        Names and texts of the command line options.
    now_unix_ms
        Creation time of the new request id; unused when one is given.

    Raises
    ------
    BadOptionError
        When an option is unknown or its text can't be parsed.
    """
    fields = {name: _parse(name, text) for name, text in options.items()}
    statement = {'sql': sql, 'parameters': fields.pop('parameters', [])}
    return {
        'mode': 'read',
        'request_id': str(RequestId.create(now_unix_ms)),
        **target,
        **fields,
        'statements': [statement],
    }


def _parse(name: str, text: str) -> Any:
    parser = _OPTION_PARSERS.get(name)
    if parser is None:
        known = ', '.join(_OPTION_PARSERS)
        raise BadOptionError(f'there is no option --{name}; use {known}')
    try:
        return parser(text)
    except ValueError as error:
        raise BadOptionError(f'--{name}: {error}') from error
