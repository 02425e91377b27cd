"""Steps of byte_shares.feature."""

from typing import Any

from behave import given, then, when

from features.byte_share_properties import check_account, check_budget
from mimosapond.entry.connection_bound import ConnectionBound


@then('in any order of messages, ends and cancellations, the budget is kept')
def check_any_order(context: Any) -> None:
    """Run the property test of the budget."""
    check_budget()


@then('an account of any messages holds nothing after its release')
def check_any_account(context: Any) -> None:
    """Run the property test of an account."""
    check_account()


@given('a bound of {count:d} connections')
def build_bound(context: Any, count: int) -> None:
    """Build the bound; ``closed`` collects the names that it closes."""
    context.bound = ConnectionBound(count)
    context.closed = []
    context.refused = []
    context.closers = {}


@when('the connections {names} come')
def add_connections(context: Any, names: str) -> None:
    """Admit connections in this order."""
    for name in names.split(', '):
        closer = _Closer(context.closed, name)
        context.closers[name] = closer
        if not context.bound.admit(closer):
            context.refused.append(name)


@when('the session of {name} starts')
def start_session(context: Any, name: str) -> None:
    """Start the session of a connection."""
    context.bound.start_session(context.closers[name])


@when('{name} leaves twice')
def leave(context: Any, name: str) -> None:
    """Remove a connection, as its own end does after a close."""
    for _ in range(2):
        context.bound.leave(context.closers[name])


@then('{closed} are closed and {refused} are refused')
def check_closed(context: Any, closed: str, refused: str) -> None:
    """Compare the names; ``none`` stands for no connection."""
    assert (', '.join(context.closed) or 'none') == closed, context.closed
    assert (', '.join(context.refused) or 'none') == refused, context.refused


class _Closer:
    """Notes the name of a connection that is closed."""

    def __init__(self, closed: list[str], name: str) -> None:
        self._closed = closed
        self._name = name

    def __call__(self) -> None:
        """Note the close."""
        self._closed.append(self._name)
