"""Sends the calls of an interactive transaction to its holder.

The target connection of a transaction exists at one host only, so its calls
are never retried at another host. If the holder does not know the transaction
of a commit, the commit is settled by its request id instead.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, final

from mimosapond import codec
from mimosapond.clock import MS_PER_S
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse, unknown
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerRejected, PeerUnavailable
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_id import RequestId
from mimosapond.settle_router import SettleRouter
from mimosapond.transaction_call import TransactionCall
from mimosapond.transaction_name import TransactionName

_ANSWER_MARGIN_S: Final = 0.1
_COMMIT: Final = 'commit'
_CONFIRM_TRIES: Final = 3
_CONFIRM_TIMEOUT_S: Final = 0.3
_ABANDON_TRIES: Final = 30
_ABANDON_PAUSE_S: Final = 0.5
_ABANDON_TIMEOUT_MS: Final = 500
# Reasons that do not show whether an earlier attempt of the commit succeeded.
_INCONCLUSIVE_REASONS: Final = frozenset(
    (
        RefusalReason.NO_TRANSACTION,
        RefusalReason.TRANSACTION_ABORTED,
    )
)


@final
class TransactionRouter:
    """Calls the term holder of an interactive transaction."""

    def __init__(
        self,
        services: EntryServices,
        settles: SettleRouter,
    ) -> None:
        """Use the shared parts of the entry host."""
        self._services = services
        self._settles = settles
        self._tasks: set[asyncio.Task[None]] = set()
        # Transactions that callers were told are rolled back, while their
        # holder has not yet confirmed the rollback.
        self._abandoned: set[TransactionName] = set()

    def confirm(self, name: TransactionName) -> None:
        """Tell the holder that the answer to the begin arrived.

        The caller does not wait for this. If the holder receives nothing, it
        rolls the transaction back, and the caller's next call is refused.
        """
        self._in_background(self._confirm(name))

    async def call(
        self,
        operation: str,
        name: TransactionName,
        call: TransactionCall,
    ) -> Outcome:
        """Make one call within a transaction.

        Parameters
        ----------
        operation
            ``execute``, ``commit`` or ``rollback``.
        name
            The transaction.
        call
            Statements and deadline of the call.
        """
        if operation != _COMMIT:
            return await self._send(operation, name, call)
        if RequestId.parse(call.request_id) is None:
            return refuse(
                RefusalReason.BAD_FIELD,
                field='request_id',
                problem='a commit needs the request id of its begin.',
            )
        deadline_s = self._services.clock.monotonic_s()
        deadline_s += call.deadline_ms / MS_PER_S
        outcome = await self._send(operation, name, call)
        if _is_conclusive(outcome):
            return outcome
        return await self._settles.settle(
            name.group,
            call.request_id,
            deadline_s,
        )

    async def _send(
        self,
        operation: str,
        name: TransactionName,
        call: TransactionCall,
    ) -> Outcome:
        host = self._services.hosts.host(name.host_id)
        if host is None or name in self._abandoned:
            return _no_transaction(name)
        self._services.decisions.record(
            'route_transaction',
            'host that keeps the transaction',
            request_id=call.request_id,
            group=name.group,
            transaction_id=str(name),
            operation=operation,
            holder=name.host_id,
            left_ms=call.deadline_ms,
        )
        timeout_s = call.deadline_ms / MS_PER_S + _ANSWER_MARGIN_S
        answer = await self._services.host_client.request(
            host,
            operation,
            _body(name, call),
            timeout_s,
        )
        match answer:
            case PeerUnavailable(problem, sent) if (
                operation == _COMMIT and sent
            ):
                return unknown(call.request_id, problem)
            case PeerUnavailable(problem):
                self._abandoned.add(name)
                self._in_background(self._abandon(name))
                return refuse(
                    RefusalReason.TRANSACTION_ABORTED,
                    problem=f'its host did not answer: {problem}',
                )
            case PeerRejected():
                return _no_transaction(name)
            case _:
                return answer

    def _in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _abandon(self, name: TransactionName) -> None:
        """Roll back at an unreachable holder as soon as it answers.

        The caller was told that the transaction is rolled back, but its locks
        would block other writes until the idle limit. A commit that arrived
        before the rollback would commit only a part of the statements.
        """
        try:
            await self._roll_back(name)
        finally:
            self._abandoned.discard(name)

    async def _roll_back(self, name: TransactionName) -> None:
        host = self._services.hosts.host(name.host_id)
        call = TransactionCall('', deadline_ms=_ABANDON_TIMEOUT_MS)
        for _ in range(_ABANDON_TRIES):
            if host is None:
                return
            answer = await self._services.host_client.call(
                host,
                'rollback',
                _body(name, call),
                _ABANDON_TIMEOUT_MS / MS_PER_S,
            )
            if not isinstance(answer, PeerUnavailable):
                return
            await self._services.clock.sleep(_ABANDON_PAUSE_S)

    async def _confirm(self, name: TransactionName) -> None:
        host = self._services.hosts.host(name.host_id)
        body = {'group': name.group, 'transaction_id': name.holder_id}
        for _ in range(_CONFIRM_TRIES):
            if host is None:
                return
            answer = await self._services.host_client.call(
                host,
                'confirm',
                body,
                _CONFIRM_TIMEOUT_S,
            )
            if not isinstance(answer, PeerUnavailable):
                return


def _is_conclusive(outcome: Outcome) -> bool:
    """Return whether a commit's outcome is also that of earlier attempts.

    A commit whose answer was lost may be repeated through any entry host. If
    the transaction no longer exists then, it may have been committed or not.
    """
    match outcome:
        case Refused(reason=reason):
            return reason not in _INCONCLUSIVE_REASONS
        case _:
            return True


def _body(name: TransactionName, call: TransactionCall) -> dict[str, Any]:
    return {
        'group': name.group,
        'transaction_id': name.holder_id,
        'deadline_ms': call.deadline_ms,
        'statements': codec.CONVERTER.unstructure(call.statements),
    }


def _no_transaction(name: TransactionName) -> Outcome:
    return refuse(RefusalReason.NO_TRANSACTION, transaction_id=str(name))
