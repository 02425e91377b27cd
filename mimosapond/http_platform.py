"""Adapter of the platform port for the platform's HTTP interface.

An unusable answer is reported as ``PlatformUnavailable``, like a missing one,
because in both cases a write may have taken effect.
"""

import functools
import json
from collections.abc import Callable, Mapping
from typing import Any, Final, TypeAlias, TypeVar, final
from urllib.parse import quote

import cattrs
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from mimosapond.codec import decode, dump_json, encode
from mimosapond.listed_host import ListedHost
from mimosapond.platform_results import (
    JsonValue,
    PlatformUnavailable,
    ReadRowResult,
    Row,
    RowConflict,
    RowWritten,
    WriteRowResult,
)

_OK: Final = 200
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_MAX_CLIENT_COUNT: Final = 16
_UNUSABLE_ANSWER_ERRORS: Final = (
    KeyError,
    TypeError,
    ValueError,
    cattrs.BaseValidationError,
)
# Status code and decoded body.
_Answer: TypeAlias = tuple[int, Any]
_Parsed = TypeVar('_Parsed')


@final
class HttpPlatform:
    """Client of the table service and the host list."""

    def __init__(self, address: str) -> None:
        """Create a client of the platform at ``address`` (``ip:port``)."""
        self._base_url = f'http://{address}'
        # A separate client, so that other requests of this process cannot use
        # up its connections.
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENT_COUNT,
        )

    def close(self) -> None:
        """Close the connections."""
        self._client.close()

    async def read_row(self, key: str, timeout_s: float) -> ReadRowResult:
        """Read one row; an absent row has revision 0 and no payload."""
        answer = await self._call('GET', f'/table/{quote(key)}', timeout_s)
        return _parse_answer(answer, functools.partial(_parse_read, key))

    async def compare_and_set(
        self,
        key: str,
        expected_revision: int,
        payload: Mapping[str, JsonValue],
        timeout_s: float,
    ) -> WriteRowResult:
        """Write a row if its revision is still the expected one."""
        answer = await self._call(
            'PUT',
            f'/table/{quote(key)}',
            timeout_s,
            {'expected_revision': expected_revision, 'value': payload},
        )
        return _parse_answer(answer, _parse_written)

    async def list_rows(
        self,
        prefix: str,
        timeout_s: float,
    ) -> tuple[Row, ...] | PlatformUnavailable:
        """Read all rows whose key starts with ``prefix``."""
        path = f'/table?prefix={quote(prefix, safe="")}'
        answer = await self._call('GET', path, timeout_s)
        return _parse_answer(answer, _parse_rows)

    async def list_hosts(
        self,
        timeout_s: float,
    ) -> tuple[ListedHost, ...] | PlatformUnavailable:
        """Read the host list."""
        answer = await self._call('GET', '/hosts', timeout_s)
        return _parse_answer(answer, _parse_hosts)

    async def register_host(
        self,
        host: ListedHost,
        timeout_s: float,
    ) -> PlatformUnavailable | None:
        """Add or change this host's own entry in the list."""
        path = f'/hosts/{quote(host.host_id, safe="")}'
        answer = await self._call('PUT', path, timeout_s, encode(host))
        if isinstance(answer, PlatformUnavailable):
            return answer
        if answer[0] != _OK:
            return PlatformUnavailable(f'status {answer[0]} from {path}')
        return None

    async def _call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: Mapping[str, Any] | None = None,
    ) -> _Answer | PlatformUnavailable:
        request = HTTPRequest(
            f'{self._base_url}{path}',
            method=method,
            body=None if body is None else dump_json(body),
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError) as error:
            return PlatformUnavailable(f'no answer from {path}: {error!r}')
        if response.code not in {_OK, _NOT_FOUND, _CONFLICT}:
            return PlatformUnavailable(f'status {response.code} from {path}')
        try:
            return response.code, json.loads(response.body)
        except ValueError as error:
            return PlatformUnavailable(
                f'unusable answer from {path}: {error!r}'
            )


def _parse_answer(
    answer: _Answer | PlatformUnavailable,
    parse: Callable[[int, Any], _Parsed],
) -> _Parsed | PlatformUnavailable:
    if isinstance(answer, PlatformUnavailable):
        return answer
    try:
        return parse(*answer)
    except _UNUSABLE_ANSWER_ERRORS as error:
        return PlatformUnavailable(f'unusable answer: {error!r}')


def _parse_read(key: str, code: int, raw: Any) -> Row:
    return Row(key, 0, None) if code == _NOT_FOUND else _parse_row(raw)


def _parse_written(code: int, raw: Any) -> RowConflict | RowWritten:
    if code == _CONFLICT:
        return RowConflict(_parse_row(raw))
    return RowWritten(int(raw['revision']))


def _parse_rows(_code: int, raw: Any) -> tuple[Row, ...]:
    # The answer is a list of rows, or an object that holds it.
    rows = raw['rows'] if isinstance(raw, dict) else raw
    return tuple(_parse_row(row) for row in rows)


def _parse_hosts(_code: int, raw: Any) -> tuple[ListedHost, ...]:
    return tuple(decode(ListedHost, entry) for entry in raw)


def _parse_row(raw: Mapping[str, Any]) -> Row:
    return Row(str(raw['key']), int(raw['revision']), raw['value'])
