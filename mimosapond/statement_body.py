"""Request body of ``mimosapond statement``."""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from mimosapond.request_id import RequestId


class BadOptionError(Exception):
    """An option of the command can't be used; the text says why."""


def _flag(text: str) -> bool:
    if text not in {'True', 'False'}:
        raise ValueError('give the option without a value')
    return text == 'True'


# Field of POST /v1/statements for each option, and how its text is read.
_OPTIONS: Final[Mapping[str, Callable[[str], Any]]] = MappingProxyType(
    {
        'mode': str,
        'work_class': str,
        'token': str,
        'session_id': str,
        'durability': str,
        'request_id': str,
        'deadline_ms': int,
        'max_age_ms': int,
        'repeatable': _flag,
        'is_long': _flag,
        'parameters': json.loads,
    }
)


def statement_body(
    target: Mapping[str, str],
    sql: str,
    options: Mapping[str, str],
    now_unix_ms: int,
) -> dict[str, Any]:
    """Build the body for one statement.

    Parameters
    ----------
    target
        Service and workspace.
    options
        Texts of the command line.
    now_unix_ms
        Creation time of the request id, unless one is given.

    Raises
    ------
    BadOptionError
        When an option is unknown or its text has a wrong form.
    """
    fields = {name: _read(name, text) for name, text in options.items()}
    statement = {'sql': sql, 'parameters': fields.pop('parameters', [])}
    return {
        'mode': 'read',
        'request_id': str(RequestId.create(now_unix_ms)),
        **target,
        **fields,
        'statements': [statement],
    }


def _read(name: str, text: str) -> Any:
    reader = _OPTIONS.get(name)
    if reader is None:
        known = ', '.join(_OPTIONS)
        raise BadOptionError(f'there is no option --{name}; use {known}')
    try:
        return reader(text)
    except ValueError as error:
        raise BadOptionError(f'--{name}: {error}') from error
