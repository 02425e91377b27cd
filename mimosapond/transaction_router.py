"""Sends the calls of an interactive transaction to the host that keeps it.

The target connection of a transaction exists at one host only, so its calls
are never retried elsewhere. A commit that finds no transaction is settled by
the request id instead.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, final

from mimosapond import codec
from mimosapond.clock import MS_PER_S
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse, unknown
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerRejected, PeerSilent
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
_GONE: Final = frozenset(
    (
        RefusalReason.NO_TRANSACTION,
        RefusalReason.TRANSACTION_ABORTED,
    )
)


@final
class TransactionRouter:
    """Calls ``execute``, ``commit`` and ``rollback`` at the holder."""

    def __init__(
        self,
        services: EntryServices,
        settles: SettleRouter,
    ) -> None:
        """Take the shared parts of the entry host."""
        self._services = services
        self._settles = settles
        self._tasks: set[asyncio.Task[None]] = set()
        # Reported as rolled back, which their holder does not know yet.
        self._abandoned: set[TransactionName] = set()

    def confirm(self, name: TransactionName) -> None:
        """Tell the holder that the answer of the begin arrived.

        The caller need not wait for it: if the holder hears nothing, it rolls
        back, and the caller's next call is told so.
        """
        self._in_background(self._confirm(name))

    async def call(
        self,
        operation: str,
        name: TransactionName,
        call: TransactionCall,
    ) -> Outcome:
        """Make one call within the transaction ``name``."""
        if operation != _COMMIT:
            return await self._send(operation, name, call)
        if RequestId.parse(call.request_id) is None:
            return refuse(
                RefusalReason.BAD_FIELD,
                field='request_id',
                problem='a commit needs the id of the begin.',
            )
        deadline_s = self._services.clock.monotonic_s()
        deadline_s += call.deadline_ms / MS_PER_S
        outcome = await self._send(operation, name, call)
        if _is_proven(outcome):
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
            return _gone(name)
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
        answer = await self._services.caller.request(
            host,
            operation,
            _body(name, call),
            timeout_s,
        )
        match answer:
            case PeerSilent(problem, sent) if operation == _COMMIT and sent:
                return unknown(call.request_id, problem)
            case PeerSilent(problem):
                self._abandoned.add(name)
                self._in_background(self._abandon(name))
                return refuse(
                    RefusalReason.TRANSACTION_ABORTED,
                    problem=f'its host did not answer: {problem}',
                )
            case PeerRejected():
                return _gone(name)
            case _:
                return answer

    def _in_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _abandon(self, name: TransactionName) -> None:
        """Roll back at a holder that was silent, once it answers again.

        The caller was told that the transaction is rolled back, and its locks
        would keep other writes waiting until the idle limit. A commit that
        came before the rollback would keep a part of the statements.
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
            answer = await self._services.caller.call(
                host,
                'rollback',
                _body(name, call),
                _ABANDON_TIMEOUT_MS / MS_PER_S,
            )
            if not isinstance(answer, PeerSilent):
                return
            await self._services.clock.sleep(_ABANDON_PAUSE_S)

    async def _confirm(self, name: TransactionName) -> None:
        host = self._services.hosts.host(name.host_id)
        body = {'group': name.group, 'transaction_id': name.holder_id}
        for _ in range(_CONFIRM_TRIES):
            if host is None:
                return
            answer = await self._services.caller.call(
                host,
                'confirm',
                body,
                _CONFIRM_TIMEOUT_S,
            )
            if not isinstance(answer, PeerSilent):
                return


def _is_proven(outcome: Outcome) -> bool:
    """Tell whether a commit's outcome holds for earlier tries as well.

    A commit whose answer was lost may be repeated through any entry host; that
    the transaction is gone then does not show whether it was committed.
    """
    match outcome:
        case Refused(reason=reason):
            return reason not in _GONE
        case _:
            return True


def _body(name: TransactionName, call: TransactionCall) -> dict[str, Any]:
    return {
        'group': name.group,
        'transaction_id': name.holder_id,
        'deadline_ms': call.deadline_ms,
        'statements': codec.CONVERTER.unstructure(call.statements),
    }


def _gone(name: TransactionName) -> Outcome:
    return refuse(RefusalReason.NO_TRANSACTION, transaction_id=str(name))
