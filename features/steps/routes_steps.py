"""Steps of routes.feature."""

import asyncio
import itertools
from typing import Any, Final, cast

from behave import given, then, when

from mimosapond.attempt_gate import AttemptGate
from mimosapond.decision_log import NullDecisionLog
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.holder_route import HolderRoute, find_holder
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerAnswered, PeerResult, PeerUnavailable
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_id import RequestId
from mimosapond.transaction_call import TransactionCall
from mimosapond.transaction_name import TransactionName
from mimosapond.transaction_router import TransactionRouter

_GROUP: Final = 'forge-0'
_DEADLINE_S: Final = 3
_NOW_MS: Final = 1000


class _SteppingClock:
    """Advances one second per reading, so that a search ends without delay."""

    def __init__(self) -> None:
        self._seconds = itertools.count()

    def monotonic_s(self) -> float:
        return next(self._seconds)


class _NoHosts:
    def host(self, _host_id: str) -> None:
        """Return no host."""


class _Services:
    """The services of an entry host that the search uses."""

    def __init__(self) -> None:
        clock: Any = _SteppingClock()
        self.clock = clock
        self.views = GroupViews()
        self.hosts = _NoHosts()
        self.gate = AttemptGate(clock)


async def _search(services: _Services) -> tuple[HolderRoute | None, bool]:
    other_work = asyncio.create_task(asyncio.sleep(0))
    view = GroupView(_GROUP, 2, 'forge-0-1', 'host-9.gone')
    await services.views.merge(view)
    has_run = other_work.done()
    assert not has_run, 'the other work must begin during the search'
    entry = cast(EntryServices, services)
    route = await find_holder(entry, _GROUP, _DEADLINE_S)
    return route, other_work.done()


@given('a view of a group whose holder is unknown to the entry host')
def build_services(context: Any) -> None:
    """Build the services of an entry host."""
    context.services = _Services()


@when('the entry host searches for the holder beside other work')
def search(context: Any) -> None:
    """Search until the deadline."""
    context.found = asyncio.run(_search(context.services))


@then('the search for the holder finds none')
def check_route(context: Any) -> None:
    """Check that the search ended at the deadline."""
    route, _has_run = context.found
    assert route is None


@then('the other work ran during the search for the holder')
def check_other_work(context: Any) -> None:
    """Check that the event loop was free during the search."""
    _route, has_run = context.found
    assert has_run


class _SilentHolder:
    """Term holder that does not answer its first calls."""

    def __init__(self, silent_count: int) -> None:
        self.operations: list[str] = []
        self._silent_count = silent_count

    async def call(self, _host: Any, operation: str, *_rest: Any) -> PeerResult:
        """Record a call and answer it, unless the holder is silent."""
        self.operations.append(operation)
        if len(self.operations) <= self._silent_count:
            return PeerUnavailable('no answer', sent=True)
        return PeerAnswered({})

    request = call


class _OneHost:
    def host(self, _host_id: str) -> str:
        """Return a host for any id."""
        return 'host'


class _Settles:
    async def settle(
        self, _group: str, request_id: str, _until_s: float
    ) -> Any:
        """Settle the request as cancelled."""
        return refuse(RefusalReason.REQUEST_CANCELLED, request_id=request_id)


@given('a routed transaction whose holder is silent for {count:d} calls')
def build_holder(context: Any, count: int) -> None:
    """Build a holder that ignores its first calls."""
    context.holder = _SilentHolder(count)


@when('statements are routed to the transaction')
def run_statements(context: Any) -> None:
    """Run one call and wait for the background tasks."""
    answers = asyncio.run(_transact(context.holder, 'execute'))
    context.answer = answers[0]


@when('statements are routed to the transaction and then a commit')
def run_and_commit(context: Any) -> None:
    """Commit after the answer and before the rollback at the holder."""
    answers = asyncio.run(_transact(context.holder, 'execute', 'commit'))
    context.answer = answers[0]
    context.commit = answers[1]


async def _transact(holder: _SilentHolder, *operations: str) -> list[Outcome]:
    services: Any = _Services()
    services.hosts = _OneHost()
    services.host_client = holder
    services.decisions = NullDecisionLog()
    services.clock.sleep = asyncio.sleep
    settles: Any = _Settles()
    router = TransactionRouter(services, settles)
    name = TransactionName(_GROUP, 'host', 'local')
    call = TransactionCall(str(RequestId.create(_NOW_MS)), 100)
    answers = [
        await router.call(operation, name, call) for operation in operations
    ]
    background = asyncio.all_tasks() - {asyncio.current_task()}
    await asyncio.gather(*background)
    return answers


@then('the routed statements are refused as {reason}')
def check_refused(context: Any, reason: str) -> None:
    """Check the answer to the statements."""
    assert isinstance(context.answer, Refused), context.answer
    assert context.answer.reason == reason, context.answer


@then('the routed commit is refused as {reason}')
def check_commit_refused(context: Any, reason: str) -> None:
    """Check the answer to the commit."""
    assert isinstance(context.commit, Refused), context.commit
    assert context.commit.reason == reason, context.commit


@then('the routed holder got no commit')
def check_no_commit(context: Any) -> None:
    """Check that the holder received no commit."""
    assert 'commit' not in context.holder.operations, context.holder.operations


@then('the routed holder got rollback calls until it answered')
def check_rollbacks(context: Any) -> None:
    """Check that rollbacks followed the unanswered call."""
    expected = ['execute', 'rollback', 'rollback', 'rollback']
    assert context.holder.operations == expected, context.holder.operations
