"""Data connection to a target over WebSocket."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, final

from mimosapond import codec
from mimosapond.json_link import JsonLink
from mimosapond.peer_results import PeerAnswered, PeerRejected, PeerUnavailable
from mimosapond.standing import Standing
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult
from mimosapond.target_results import (
    TargetAnswered,
    TargetRejected,
    TargetResult,
    TargetSilent,
)


@final
class WebsocketConnection:
    """Data connection that closes itself when a call gets no answer.

    After a call that was cancelled or got no answer, the state of the
    transaction is unknown. The target rolls it back when the connection closes.
    """

    def __init__(self, link: JsonLink) -> None:
        """Use ``link``, which is open to the target's data endpoint."""
        self._link = link

    @property
    def is_open(self) -> bool:
        """Whether the connection may be used again."""
        return self._link.is_open

    async def read(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run read-only statements on committed data."""
        body = {'statements': _encode(statements)}
        return await self._call('read', body, timeout_s)

    async def begin(
        self,
        term: int,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Start a transaction at ``term`` and run its first statements."""
        body = {'term': term, 'statements': _encode(statements)}
        return await self._call('begin', body, timeout_s)

    async def execute(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run statements in the open transaction."""
        body = {'statements': _encode(statements)}
        return await self._call('execute', body, timeout_s)

    async def commit(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run the last statements and commit the open transaction."""
        body = {'statements': _encode(statements)}
        return await self._call('commit', body, timeout_s)

    async def rollback(self, timeout_s: float) -> TargetResult:
        """Roll the open transaction back."""
        return await self._call('rollback', {}, timeout_s)

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""
        self._link.close()

    async def _call(
        self,
        operation: str,
        body: Mapping[str, Any],
        timeout_s: float,
    ) -> TargetResult:
        try:
            answer = await self._link.call(operation, body, timeout_s)
        except asyncio.CancelledError:
            self.close()
            raise
        match answer:
            case PeerAnswered(body=answer_body):
                return decode_answer(answer_body)
            case PeerRejected(body=answer_body):
                return decode_rejection(answer_body)
            case PeerUnavailable(problem, sent):
                self.close()
                return TargetSilent(problem, sent)


def decode_answer(body: Mapping[str, Any]) -> TargetAnswered:
    """Decode the body of an accepted call."""
    return TargetAnswered(
        results=tuple(
            codec.decode(StatementResult, raw)
            for raw in body.get('results', ())
        ),
        standing=codec.decode(Standing, body['standing']),
    )


def decode_rejection(body: Mapping[str, Any]) -> TargetRejected:
    """Decode the body of a rejected call."""
    raw = body.get('standing')
    return TargetRejected(
        reason=body['reason'],
        message=body['message'],
        standing=None if raw is None else codec.decode(Standing, raw),
    )


def _encode(statements: Sequence[Statement]) -> list[dict[str, Any]]:
    return [codec.encode(statement) for statement in statements]
