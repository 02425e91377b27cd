"""Client for the callers' HTTP API, with persistent connections."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final, Self, final

import aiohttp

from mimosapond import codec
from mimosapond.clock import MS_PER_S
from mimosapond.errors import unknown
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall
from mimosapond.unknown import Unknown

# Added to the deadline of a request, so that the answer that the host gives at
# the deadline arrives before the client times out.
_ANSWER_MARGIN_S: Final = 1
_DEFAULT_TIMEOUT_S: Final = 10
_NO_ANSWER: Final = 'no answer reached the caller: '


def has_no_answer(outcome: Outcome) -> bool:
    """Return whether the client created the outcome for lack of an answer."""
    return isinstance(outcome, Unknown) and _NO_ANSWER in outcome.message


@final
class CallerClient:
    """Sends requests to hosts and decodes their outcomes.

    A request without a readable answer may have run, so its outcome is
    ``Unknown``.
    """

    def __init__(
        self,
        connection_limit_count: int = 0,
        answer_margin_s: float = _ANSWER_MARGIN_S,
    ) -> None:
        """Create the HTTP session.

        Parameters
        ----------
        connection_limit_count
            Maximum number of connections; 0 for no limit.
        answer_margin_s
            Time that the client waits for an answer after the deadline.
        """
        self._answer_margin_s = answer_margin_s
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=connection_limit_count),
        )

    async def __aenter__(self) -> Self:
        """Return this client."""
        return self

    async def __aexit__(self, *_error: object) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    async def run(self, address: str, request: StatementRequest) -> Outcome:
        """Run one request at the host listening on ``address``."""
        return await self._post(
            f'http://{address}/v1/statements',
            _without_none(request),
            request.request_id,
            request.deadline_ms,
        )

    async def begin(self, address: str, request: StatementRequest) -> Outcome:
        """Begin an interactive transaction."""
        return await self._post(
            f'http://{address}/v1/transactions',
            _without_none(request),
            request.request_id,
            request.deadline_ms,
        )

    async def transact(
        self,
        address: str,
        transaction_id: str,
        operation: str,
        call: TransactionCall,
    ) -> Outcome:
        """Call an operation of an interactive transaction.

        Parameters
        ----------
        operation
            ``statements``, ``commit`` or ``rollback``.
        """
        return await self._post(
            f'http://{address}/v1/transactions/{transaction_id}/{operation}',
            codec.encode(call),
            call.request_id,
            call.deadline_ms,
        )

    async def settle(self, address: str, query: OutcomeQuery) -> Outcome:
        """Ask for the outcome of an earlier request."""
        return await self._post(
            f'http://{address}/v1/outcomes',
            codec.encode(query),
            query.request_id,
            query.deadline_ms,
        )

    async def _post(
        self,
        url: str,
        body: Mapping[str, Any],
        request_id: str,
        deadline_ms: int | None,
    ) -> Outcome:
        limit_s: float = _DEFAULT_TIMEOUT_S
        if deadline_ms is not None:
            limit_s = deadline_ms / MS_PER_S + self._answer_margin_s
        timeout = aiohttp.ClientTimeout(total=limit_s)
        try:
            async with self._session.post(
                url,
                json=body,
                timeout=timeout,
            ) as answer:
                return codec.decode_outcome(await answer.json())
        except (aiohttp.ClientError, asyncio.TimeoutError, ValueError) as error:
            return unknown(request_id, f'{_NO_ANSWER}{error!r}')


def _without_none(request: StatementRequest) -> dict[str, Any]:
    encoded = codec.encode(request)
    return {name: field for name, field in encoded.items() if field is not None}
