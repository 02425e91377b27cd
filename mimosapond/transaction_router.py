"""Sends the calls of an interactive transaction to the host that keeps it.

The target connection of a transaction exists at one host only, so its calls
are never retried elsewhere.
"""

from typing import Any, Final, final

from mimosapond import codec
from mimosapond.clock import MS_PER_S
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse, unknown
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerRejected, PeerSilent
from mimosapond.refusal_reason import RefusalReason
from mimosapond.transaction_call import TransactionCall
from mimosapond.transaction_name import TransactionName

_ANSWER_MARGIN_S: Final = 0.1
_COMMIT: Final = 'commit'


@final
class TransactionRouter:
    """Calls ``execute``, ``commit`` and ``rollback`` at the holder."""

    def __init__(self, services: EntryServices) -> None:
        """Take the shared parts of the entry host."""
        self._services = services

    async def call(
        self,
        operation: str,
        name: TransactionName,
        call: TransactionCall,
    ) -> Outcome:
        """Make one call within the transaction ``name``."""
        host = self._services.hosts.host(name.host_id)
        if host is None:
            if operation == _COMMIT:
                return unknown(call.request_id, 'its host is gone')
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
                return refuse(
                    RefusalReason.TRANSACTION_ABORTED,
                    problem=f'its host did not answer: {problem}',
                )
            case PeerRejected():
                return _gone(name)
            case _:
                return answer


def _body(name: TransactionName, call: TransactionCall) -> dict[str, Any]:
    return {
        'group': name.group,
        'transaction_id': name.holder_id,
        'deadline_ms': call.deadline_ms,
        'statements': codec.CONVERTER.unstructure(call.statements),
    }


def _gone(name: TransactionName) -> Outcome:
    return refuse(RefusalReason.NO_TRANSACTION, transaction_id=str(name))
