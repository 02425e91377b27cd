"""Calls of one data connection to a member."""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final, TypeAlias, final

import cattrs

from mimosapond.clock import MS_PER_S
from mimosapond.codec import decode, encode
from mimosapond.peer_port import PeerOperation
from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.statement import Statement
from mimosapond.statement_result import StatementResult
from standins.member_slots import MemberSlots
from standins.member_sql import cost_ms
from standins.member_state import MemberState
from standins.member_transaction import MemberTransaction

_HISTORY_LIMIT_COUNT: Final = 16
_Body: TypeAlias = Mapping[str, Any]
_Results: TypeAlias = tuple[StatementResult, ...]


def _statements(body: _Body) -> tuple[Statement, ...]:
    try:
        return decode(tuple[Statement, ...], body.get('statements', []))
    except cattrs.BaseValidationError as error:
        raise RejectedCallError('bad_request', repr(error)) from error


def _changes_data(statement: Statement, outcome: StatementResult) -> bool:
    # A query has columns and no changed rows, and is not logged.
    return not outcome.columns or outcome.changed > 0


@final
class MemberSession:
    """Session with at most one open transaction and one call at a time."""

    def __init__(
        self,
        state: MemberState,
        slots: MemberSlots,
        lock_timeout_ms: int,
    ) -> None:
        """Start without a transaction."""
        self.operations: Final[Mapping[str, PeerOperation]] = {
            'read': self._read,
            'begin': self._begin,
            'execute': self._execute,
            'commit': self._commit,
            'rollback': self._rollback,
        }
        self._state = state
        self._slots = slots
        self._lock_timeout_s = lock_timeout_ms / MS_PER_S
        self._transaction: MemberTransaction | None = None

    def close(self) -> None:
        """Roll back the open transaction, if there is one."""
        transaction = self._transaction
        if transaction is not None and not transaction.is_aborted:
            self._state.abort_transaction()
        self._transaction = None

    async def _read(self, body: _Body) -> _Body:
        statements = _statements(body)
        async with self._slots.hold(len(statements), cost_ms(statements)):
            return self._answer(self._state.database.read(statements))

    async def _begin(self, body: _Body) -> _Body:
        statements = _statements(body)
        term = body.get('term')
        if self._transaction is not None or not isinstance(term, int):
            raise RejectedCallError('bad_request', 'begin needs a term, once')
        self._state.require_primary(term)
        await self._acquire_write_lock()
        try:
            self._transaction = self._state.begin(term)
        except RejectedCallError:
            self._state.write_lock.release()
            raise
        return self._answer(await self._write(statements))

    async def _execute(self, body: _Body) -> _Body:
        return self._answer(await self._write(_statements(body)))

    async def _commit(self, body: _Body) -> _Body:
        written = await self._write(_statements(body))
        self._state.commit(self._open_transaction())
        self._transaction = None
        return self._answer(written)

    async def _rollback(self, _body: _Body) -> _Body:
        self._open_transaction()
        self.close()
        return self._answer(())

    async def _acquire_write_lock(self) -> None:
        try:
            async with asyncio.timeout(self._lock_timeout_s):
                await self._state.write_lock.acquire()
        except TimeoutError as error:
            raise self._state.rejection(
                'lock_timeout',
                'another transaction held the write lock',
            ) from error

    async def _write(self, statements: Sequence[Statement]) -> _Results:
        self._open_transaction()
        try:
            return await self._run(statements)
        except RejectedCallError:
            self.close()
            raise

    async def _run(self, statements: Sequence[Statement]) -> _Results:
        async with self._slots.hold(len(statements), cost_ms(statements)):
            transaction = self._open_transaction()
            outcomes = self._state.database.write(statements)
        transaction.statements.extend(
            statement
            for statement, outcome in zip(statements, outcomes, strict=True)
            if _changes_data(statement, outcome)
        )
        return outcomes

    def _open_transaction(self) -> MemberTransaction:
        transaction = self._transaction
        if transaction is None:
            raise self._state.rejection('no_transaction', 'none is open')
        if transaction.is_aborted:
            self.close()
            raise self._state.rejection(
                'term_changed',
                'rolled back: the member adopted a higher term',
            )
        return transaction

    def _answer(self, outcomes: _Results) -> _Body:
        return {
            'results': [encode(outcome) for outcome in outcomes],
            'standing': encode(self._state.standing(_HISTORY_LIMIT_COUNT)),
        }
