"""Entry point of all requests that callers send to this host."""

import dataclasses
from typing import Final, final

from mimosapond.access_mode import AccessMode
from mimosapond.clock import MS_PER_S, Clock
from mimosapond.completed import Completed
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse, unknown
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.read_router import ReadRouter
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_resolver import RequestResolver
from mimosapond.request_validator import NAME_LIMIT_CHARS
from mimosapond.routed_request import RoutedRequest
from mimosapond.settle_router import SettleRouter
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall
from mimosapond.transaction_name import TransactionName
from mimosapond.transaction_router import TransactionRouter
from mimosapond.unknown import Unknown
from mimosapond.write_router import WriteRouter

_RUN: Final = 'run'
_BEGIN: Final = 'begin'
# These refusals come from the state of this host or the age of the request id.
# They do not show whether an earlier attempt of the request ran.
_INCONCLUSIVE_REASONS: Final = frozenset(
    (
        RefusalReason.NOT_READY,
        RefusalReason.REQUEST_EXPIRED,
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.UNKNOWN_WORKSPACE,
    )
)
_EXECUTE: Final = 'execute'
_SETTLE: Final = 'settle'


@final
class Router:
    """Resolves requests and passes them to the router for their kind."""

    def __init__(
        self,
        services: EntryServices,
        resolver: RequestResolver,
        reads: ReadRouter,
    ) -> None:
        """Build the routers for writes, outcome queries and transactions.

        Parameters
        ----------
        services
            Components that the routers of this host share.
        resolver
            Checks requests against the service documents in force.
        reads
            Router for read requests.
        """
        self._clock: Clock = services.clock
        self._services = services
        self._resolver = resolver
        self._reads = reads
        self._writes = WriteRouter(services)
        self._settles = SettleRouter(services)
        self._transactions = TransactionRouter(services, self._settles)

    async def run(self, request: StatementRequest) -> Outcome:
        """Run the statements of ``request`` in one transaction."""
        outcome = await self._run(request)
        self._record(outcome, request.request_id, _RUN)
        return outcome

    async def begin(self, request: StatementRequest) -> Outcome:
        """Begin an interactive transaction."""
        outcome = await self._begin(request)
        self._record(outcome, request.request_id, _BEGIN)
        return outcome

    async def transact(
        self,
        operation: str,
        name_text: str,
        call: TransactionCall,
    ) -> Outcome:
        """Run one call of an interactive transaction.

        Parameters
        ----------
        operation
            ``execute``, ``commit`` or ``rollback``.
        name_text
            Transaction id as the caller sent it.
        call
            Request body of the call.
        """
        outcome = await self._transact(operation, name_text, call)
        self._record(outcome, call.request_id, operation)
        return outcome

    async def settle(self, query: OutcomeQuery) -> Outcome:
        """Determine the outcome of an earlier request for good.

        A request that has not run by then is cancelled and can never run.
        """
        outcome = await self._settle(query)
        self._record(outcome, query.request_id, _SETTLE)
        return outcome

    async def _run(self, request: StatementRequest) -> Outcome:
        if not request.statements:
            return _no_statements()
        routed = self._resolver.resolve(request)
        if isinstance(routed, Refused):
            return _refuse_attempt(request, routed)
        return await self._run_timed(routed)

    async def _begin(self, request: StatementRequest) -> Outcome:
        if request.mode is AccessMode.READ:
            return refuse(
                RefusalReason.BAD_FIELD,
                field='mode',
                problem='interactive transactions are writes',
            )
        routed = self._resolver.resolve(request)
        if isinstance(routed, Refused):
            return _refuse_attempt(request, routed)
        outcome = await self._writes.run(routed, _BEGIN)
        if isinstance(outcome, Completed):
            name = f'{routed.group.name}/{outcome.transaction_id}'
            self._confirm(name)
            return dataclasses.replace(outcome, transaction_id=name)
        return outcome

    async def _transact(
        self,
        operation: str,
        name_text: str,
        call: TransactionCall,
    ) -> Outcome:
        fault = self._resolver.check_call(call)
        if fault is None and operation == _EXECUTE and not call.statements:
            fault = _no_statements()
        if fault is not None:
            return fault
        name = TransactionName.parse(name_text)
        if name is None:
            return refuse(
                RefusalReason.NO_TRANSACTION,
                transaction_id=name_text,
            )
        return await self._transactions.call(operation, name, call)

    async def _settle(self, query: OutcomeQuery) -> Outcome:
        request = StatementRequest(
            service=query.service,
            workspace=query.workspace,
            request_id=query.request_id,
            mode=AccessMode.WRITE,
            deadline_ms=query.deadline_ms,
        )
        routed = self._resolver.resolve(request)
        if isinstance(routed, Refused):
            return routed
        return await self._settles.run(routed)

    def _confirm(self, name_text: str) -> None:
        name = TransactionName.parse(name_text)
        if name is not None:
            self._transactions.confirm(name)

    async def _run_timed(self, routed: RoutedRequest) -> Outcome:
        started_s = self._clock.monotonic_s()
        self._services.retry_budget.refill()
        if routed.request.mode is AccessMode.READ:
            outcome = await self._reads.run(routed)
        else:
            outcome = await self._writes.run(routed)
        duration_s = self._clock.monotonic_s() - started_s
        metrics = self._services.metrics
        metrics.count(f'outcome.{outcome.outcome}')
        metrics.timing_ms(
            f'request.{routed.request.work_class}',
            duration_s * MS_PER_S,
        )
        return outcome

    def _record(
        self,
        outcome: Outcome,
        request_id: str,
        operation: str,
    ) -> None:
        # Completed requests are not recorded here: their route and their slot
        # already have log lines.
        match outcome:
            case Refused(reason=reason):
                self._services.decisions.record(
                    'request_refused',
                    reason,
                    request_id=request_id[:NAME_LIMIT_CHARS],
                    operation=operation,
                    retry_after_ms=outcome.retry_after_ms,
                )
            case Unknown(message=message):
                self._services.decisions.record(
                    'request_unknown',
                    message,
                    request_id=request_id,
                    operation=operation,
                )


def _refuse_attempt(request: StatementRequest, refused: Refused) -> Outcome:
    """Return ``refused``, or unknown if an earlier attempt may have run.

    An inconclusive refusal of this attempt would otherwise claim that the
    request did not run at all.
    """
    if request.may_have_run and refused.reason in _INCONCLUSIVE_REASONS:
        return unknown(request.request_id, refused.message)
    return refused


def _no_statements() -> Refused:
    return refuse(
        RefusalReason.BAD_FIELD,
        field='statements',
        problem='expected at least one',
    )
