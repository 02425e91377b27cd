"""HTTP client of the platform's table store."""

import asyncio
import base64
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final, final
from urllib.parse import urlencode

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest
from tornado.httpclient import HTTPResponse

from mimosapond.address_resolver import AddressResolver
from mimosapond.platform.store_rows import (
    ConditionFailed,
    HistoryTruncated,
    StoredRow,
    StoredRows,
    Unavailable,
    decode_rows,
)

_OK: Final = 200
_PRECONDITION_FAILED: Final = 412
_GONE: Final = 410
_JSON: Final = 'application/json'
# Far above what a table of this system holds. A longer answer is not kept.
_MAX_BODY_BYTES: Final = 8 * 1024 * 1024
_CALL_ERRORS: Final = (HTTPError, OSError, asyncio.TimeoutError)


def _ignore_progress(byte_count: int) -> None:
    """Do nothing."""


@final
@attrs.frozen
class Transfer:
    """How the body of an answer may arrive.

    Parameters
    ----------
    limit_s
        How much longer a call may take once its answer has begun.
    on_progress
        Is called with the bytes of the body that have arrived so far.
    """

    limit_s: float = 0
    on_progress: Callable[[int], None] = _ignore_progress


_SHORT: Final = Transfer()


@final
@attrs.frozen
class _Answer:
    code: int
    body: bytes


@final
class _Body:
    """Collects the body of an answer while it arrives."""

    def __init__(self, on_progress: Callable[[int], None]) -> None:
        self._on_progress = on_progress
        self._chunks: list[bytes] = []
        self._byte_count = 0

    @property
    def has_begun(self) -> bool:
        """Whether anything has arrived."""
        return bool(self._chunks)

    @property
    def content(self) -> bytes:
        """What has arrived so far."""
        return b''.join(self._chunks)

    def add(self, chunk: bytes) -> None:
        """Add the next part, and report the progress."""
        self._chunks.append(chunk)
        self._byte_count += len(chunk)
        self._on_progress(self._byte_count)

    def abandon(self) -> None:
        """Report no further progress, as nobody waits for the answer."""
        self._on_progress = _ignore_progress


@final
class StoreClient:
    """Client of the table store that opens a connection for each call.

    No connection is kept open for reuse, since calls on a connection that the
    network has silently dropped would time out.
    """

    def __init__(self, address: str) -> None:
        """Create a client of the store at ``address`` (``ip:port``)."""
        self._base_url = f'http://{address}/api'
        self._client = AsyncHTTPClient(
            force_instance=True,
            max_clients=20,
            resolver=AddressResolver(),
            max_body_size=_MAX_BODY_BYTES,
        )

    async def read_table(
        self, table: str, limit_s: float, transfer: Transfer = _SHORT
    ) -> StoredRows | Unavailable:
        """Return the rows in the unnamed partition of a table.

        A large table is read in several calls of ``limit_s`` each, so that its
        rows are not all of the same moment.
        """
        pages: list[StoredRows] = []
        first = ''
        while True:
            page = await self._read(limit_s, transfer, table=table, first=first)
            if isinstance(page, Unavailable):
                return page
            pages.append(page)
            if not (page.has_more and page.rows):
                break
            first = _key_after(page.rows[-1].key)
        rows = tuple(row for page in pages for row in page.rows)
        return attrs.evolve(pages[0], rows=rows)

    async def read_row(
        self, table: str, row_key: str, limit_s: float
    ) -> StoredRows | Unavailable:
        """Return one row of a table; no row if it does not exist."""
        return await self._read(
            limit_s,
            _SHORT,
            table=table,
            first=row_key,
            end=_key_after(row_key),
        )

    async def wait_for_changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        limit_s: float,
        transfer: Transfer = _SHORT,
    ) -> StoredRows | HistoryTruncated | Unavailable:
        """Return the rows that changed after a version, waiting for a change.

        Parameters
        ----------
        after
            Version of the store up to which changes are known.
        wait_s
            How long the store waits for a change before it answers with no
            rows.
        limit_s
            Timeout of the call; it has to be longer than ``wait_s``.
        """
        query = urlencode(
            {'table': table, 'after': after, 'wait_ms': int(wait_s * 1000)},
        )
        response = await self._get(f'rows-feed?{query}', limit_s, transfer)
        if isinstance(response, Unavailable):
            return response
        if response.code == _GONE:
            return HistoryTruncated()
        return decode_rows(response.body)

    async def compare_and_set(
        self,
        table: str,
        row: StoredRow,
        limit_s: float,
    ) -> StoredRows | ConditionFailed | Unavailable:
        """Write a row if its stored version is still ``row.version``.

        Returns
        -------
        StoredRows
            The row was written; ``version`` is its new version.
        ConditionFailed
            The row has another version; nothing was written.
        Unavailable
            It is not known whether the row was or will be written.
        """
        content = base64.b64encode(row.content or b'').decode()
        row_id = {'table': table, 'part': '', 'key': row.key}
        body = {
            'expect_rev': [{**row_id, 'ver': row.version}],
            'set_keys': [{**row_id, 'value': content}],
            'remove': [],
        }
        response = await self._post('rows-tx', body, limit_s)
        if isinstance(response, Unavailable):
            return response
        if response.code == _PRECONDITION_FAILED:
            return ConditionFailed()
        return decode_rows(response.body)

    async def _read(
        self,
        limit_s: float,
        transfer: Transfer,
        *,
        table: str,
        first: str = '',
        end: str = '',
    ) -> StoredRows | Unavailable:
        bounds = {
            name: key for name, key in (('from', first), ('to', end)) if key
        }
        query = urlencode({'table': table, 'part': '', **bounds})
        response = await self._get(f'rows-get?{query}', limit_s, transfer)
        if isinstance(response, Unavailable):
            return response
        return decode_rows(response.body)

    async def _post(
        self, path: str, body: dict[str, Any], limit_s: float
    ) -> _Answer | Unavailable:
        request = HTTPRequest(
            f'{self._base_url}/{path}',
            method='POST',
            headers={'Content-Type': _JSON},
            body=json.dumps(body),
            decompress_response=False,
            connect_timeout=limit_s,
            request_timeout=limit_s,
        )
        return await _await_answer(
            self._client.fetch(request, raise_error=False)
        )

    async def _get(
        self, path: str, limit_s: float, transfer: Transfer
    ) -> _Answer | Unavailable:
        """Return an answer whose body may arrive for longer than the limit.

        A store that does not begin to answer within the limit is silent.
        """
        body = _Body(transfer.on_progress)
        request = HTTPRequest(
            f'{self._base_url}/{path}',
            # The limit of a body is that of the received bytes.
            decompress_response=False,
            connect_timeout=limit_s,
            request_timeout=limit_s + transfer.limit_s,
            streaming_callback=body.add,
        )
        call = self._client.fetch(request, raise_error=False)
        await asyncio.wait((call,), timeout=limit_s)
        if not (call.done() or body.has_begun):
            body.abandon()
            call.add_done_callback(_ignore_answer)
            return Unavailable('the store did not answer in time')
        response = await _await_answer(call)
        if isinstance(response, Unavailable):
            return response
        return attrs.evolve(response, body=body.content)


async def _await_answer(
    call: Awaitable[HTTPResponse],
) -> _Answer | Unavailable:
    try:
        response = await call
    except _CALL_ERRORS as error:
        return Unavailable(repr(error))
    if response.code in {_OK, _PRECONDITION_FAILED, _GONE}:
        return _Answer(response.code, response.body)
    return Unavailable(f'HTTP status {response.code}')


def _ignore_answer(call: asyncio.Future[HTTPResponse]) -> None:
    """Retrieve an error, so that it is not reported as unhandled."""
    if not call.cancelled():
        call.exception()


def _key_after(row_key: str) -> str:
    """Return the lowest key above a key."""
    return f'{row_key}\0'
