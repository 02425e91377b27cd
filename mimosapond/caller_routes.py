"""URL table of the callers' listener."""

from typing import Any, Final

from mimosapond.caller_handler import CallerHandler, CallerOperation
from mimosapond.in_flight import InFlight
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.router import Router
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall

_CALL_PATH: Final = '/v1/transactions/(.+)'


def build_caller_routes(
    router: Router,
    limit_bytes: int,
    in_flight: InFlight,
) -> list[tuple[str, type[CallerHandler], dict[str, Any]]]:
    """Return the routes of ``/v1``.

    Parameters
    ----------
    router
        Runs the operations.
    limit_bytes
        Maximum size of a request body.
    in_flight
        Counter of the requests being served.
    """
    operations = _Operations(router)
    table: list[tuple[str, type, CallerOperation]] = [
        ('/v1/statements', StatementRequest, operations.run),
        ('/v1/transactions', StatementRequest, operations.begin),
        (
            f'{_CALL_PATH}/statements',
            TransactionCall,
            operations.execute,
        ),
        (f'{_CALL_PATH}/commit', TransactionCall, operations.commit),
        (f'{_CALL_PATH}/rollback', TransactionCall, operations.rollback),
        ('/v1/outcomes', OutcomeQuery, operations.settle),
    ]
    return [
        (
            path,
            CallerHandler,
            {
                'model': model,
                'operation': operation,
                'limit_bytes': limit_bytes,
                'in_flight': in_flight,
            },
        )
        for path, model, operation in table
    ]


class _Operations:
    """Adapts the methods of the router to one signature."""

    def __init__(self, router: Router) -> None:
        self._router = router

    async def run(self, body: StatementRequest, _path: str) -> Outcome:
        return await self._router.run(body)

    async def begin(self, body: StatementRequest, _path: str) -> Outcome:
        return await self._router.begin(body)

    async def execute(self, body: TransactionCall, path: str) -> Outcome:
        return await self._router.transact('execute', path, body)

    async def commit(self, body: TransactionCall, path: str) -> Outcome:
        return await self._router.transact('commit', path, body)

    async def rollback(self, body: TransactionCall, path: str) -> Outcome:
        return await self._router.transact('rollback', path, body)

    async def settle(self, body: OutcomeQuery, _path: str) -> Outcome:
        return await self._router.settle(body)
