"""Builders of requests and messages for access.feature."""

import json
import socket
from typing import Final

from loadtool.deployment import OPERATOR_SECRET, PEER_SECRET

CONNECTION_LIMIT_COUNT: Final = 5
_KIBIBYTE: Final = 1024
_MEBIBYTE: Final = 1_048_576
_NESTING_DEPTH: Final = 100_000
_HEADERS: Final = b'POST /absent HTTP/1.1\r\nHost: host\r\n'


def build_secret(name: str, right: str) -> str | bytes:
    """Build the header value that a table cell describes.

    Parameters
    ----------
    name
        Text of the table cell; an unknown text gives an empty value.
    right
        The secret that the listener requires.
    """
    match name:
        case 'the right secret':
            return right
        case 'the peer secret':
            return PEER_SECRET
        case 'the operator secret':
            return OPERATOR_SECRET
        case 'a longer secret':
            return f'{right}x'
        case 'non-ASCII bytes':
            return b'\xff\xfe'
        case 'a wrong secret':
            return 'x' * len(right)
        case _:
            return ''


def build_message(name: str) -> str:
    """Build the WebSocket message that a table cell describes."""
    return {
        'no JSON': 'no JSON',
        'a list': '[1]',
        'a call without a body': json.dumps({'call_id': 1, 'op': 'probe'}),
        'a call id of text': _call('1', 'probe'),
        'deep nesting': '[' * _NESTING_DEPTH,
        '17 MiB': ' ' * (17 * _MEBIBYTE),
        'an unknown operation': _call(1, 'absent'),
        'run without fields': _call(1, 'run'),
    }[name]


def build_partial_request(name: str) -> bytes:
    """Build the bytes that a table cell describes."""
    long_header = b'x' * (20 * _KIBIBYTE)
    return {
        'nothing': b'',
        'a part of the headers': _HEADERS,
        'headers and a part of the body': b'%sContent-Length: 10\r\n\r\n{'
        % _HEADERS,
        'a whole request': b'%sContent-Length: 2\r\n\r\n{}' % _HEADERS,
        '20 KiB of headers': b'%sX-Long: %s' % (_HEADERS, long_header),
    }[name]


def _call(call_id: int | str, name: str) -> str:
    return json.dumps({'call_id': call_id, 'op': name, 'body': {}})


def read_status(connection: socket.socket) -> int:
    """Return the status of an HTTP answer that fits into one segment."""
    return int(connection.recv(4096).split()[1])


def read_to_end(connection: socket.socket) -> bytes:
    """Return all bytes that arrive until the other side closes."""
    chunks: list[bytes] = []
    while not chunks or chunks[-1]:
        chunks.append(connection.recv(_KIBIBYTE))
    return b''.join(chunks)
