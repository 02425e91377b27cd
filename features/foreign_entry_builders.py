"""Builders of contents that other programs may write."""

import json
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

from features.group_builders import GROUP

_NESTING_DEPTH: Final = 100_000
_DIGIT_COUNT: Final = 5000


def build_registration(port: int = 80, **changes: Any) -> dict[str, Any]:
    """Build the entry of a member, with some fields changed."""
    entry = {
        'service': GROUP,
        'addr': f'10.0.0.1:{port}',
        'zone': 'centre-a',
        'state': 'ready',
    }
    return {**entry, **changes}


def build_nested_lists() -> str:
    """Build JSON that is nested deeper than the interpreter's stack."""
    return '[' * _NESTING_DEPTH + ']' * _NESTING_DEPTH


def _build_with_raw(field: str, raw: str) -> bytes:
    text = json.dumps(build_registration(**{field: '@'}))
    return text.replace('"@"', raw).encode()


def _build_changed(**changes: Any) -> bytes:
    return json.dumps(build_registration(**changes)).encode()


_DIGITS: Final = '9' * _DIGIT_COUNT
_CONTENTS: Final[Mapping[str, Callable[[], bytes]]] = MappingProxyType(
    {
        '100000 nested lists': lambda: build_nested_lists().encode(),
        'a service of 100000 nested lists': lambda: _build_with_raw(
            'service', build_nested_lists()
        ),
        'an integer of 5000 digits': lambda: _build_with_raw('seq', _DIGITS),
        'a number that is infinite': lambda: _build_with_raw('seq', '1e999'),
        'a port of 5000 digits': lambda: _build_changed(
            addr=f'10.0.0.1:{_DIGITS}'
        ),
        'the port 99999': lambda: _build_changed(addr='10.0.0.1:99999'),
        'the port 0': lambda: _build_changed(addr='10.0.0.1:0'),
        'a port of digits that are not ASCII': lambda: _build_changed(
            addr='10.0.0.1:\u0664\u0662'
        ),
        'a host name for its address': lambda: _build_changed(addr='m3:80'),
        'a service with half a character': lambda: _build_changed(
            service='\ud800'
        ),
        'a service with a line end': lambda: _build_changed(
            service=f'{GROUP}\r\nQUERY'
        ),
        'a service that no configuration names': lambda: _build_changed(
            service='unknown'
        ),
        'bytes that are not UTF-8': lambda: b'\xff\xfe{}',
    }
)


def build_foreign_registration(description: str) -> bytes:
    """Build the described content of a registration."""
    return _CONTENTS[description]()
