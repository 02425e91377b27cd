"""The entry side: every call of a caller passes here."""

import dataclasses
from typing import Final, final

from mimosapond.access_mode import AccessMode
from mimosapond.clock import MS_PER_S, Clock
from mimosapond.completed import Completed
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.read_router import ReadRouter
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_resolver import RequestResolver
from mimosapond.routed_request import RoutedRequest
from mimosapond.settle_router import SettleRouter
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall
from mimosapond.transaction_name import TransactionName
from mimosapond.transaction_router import TransactionRouter
from mimosapond.write_router import WriteRouter

_BEGIN: Final = 'begin'


@final
class Router:
    """Resolves requests and hands them to the router of their kind."""

    def __init__(
        self,
        services: EntryServices,
        resolver: RequestResolver,
        reads: ReadRouter,
    ) -> None:
        """Take the documents in force and the parts of the entry host."""
        self._clock: Clock = services.clock
        self._services = services
        self._resolver = resolver
        self._reads = reads
        self._writes = WriteRouter(services)
        self._settles = SettleRouter(services)
        self._transactions = TransactionRouter(services, self._settles)

    async def run(self, request: StatementRequest) -> Outcome:
        """Run one statement or one whole transaction."""
        if not request.statements:
            return refuse(
                RefusalReason.BAD_FIELD,
                field='statements',
                problem='expected at least one',
            )
        routed = self._resolver.resolve(request)
        if isinstance(routed, Refused):
            return routed
        return await self._timed(routed)

    async def begin(self, request: StatementRequest) -> Outcome:
        """Begin an interactive transaction."""
        if request.mode is AccessMode.READ:
            return refuse(
                RefusalReason.BAD_FIELD,
                field='mode',
                problem='interactive transactions are writes',
            )
        routed = self._resolver.resolve(request)
        if isinstance(routed, Refused):
            return routed
        outcome = await self._writes.run(routed, _BEGIN)
        if isinstance(outcome, Completed):
            name = f'{routed.group.name}/{outcome.transaction_id}'
            return dataclasses.replace(outcome, transaction_id=name)
        return outcome

    async def transact(
        self,
        operation: str,
        name_text: str,
        call: TransactionCall,
    ) -> Outcome:
        """Make a call within an interactive transaction."""
        name = TransactionName.parse(name_text)
        if name is None:
            return refuse(
                RefusalReason.NO_TRANSACTION,
                transaction_id=name_text,
            )
        return await self._transactions.call(operation, name, call)

    async def settle(self, query: OutcomeQuery) -> Outcome:
        """Settle the outcome of an earlier request."""
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

    async def _timed(self, routed: RoutedRequest) -> Outcome:
        started_s = self._clock.monotonic_s()
        self._services.budget.earn()
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
