"""Steps of failover_explorer.feature."""

from typing import Any

from behave import then

from features.failover_explorer import explore
from features.restart_fault import parse_restarts


@then('no commit is lost in the orders of events {first:d} to {last:d}')
def check_orders(context: Any, first: int, last: int) -> None:
    """Play the orders of these seeds."""
    violations = explore(first, last - first + 1)
    assert not violations, violations


@then(
    'no commit is lost beside restarts of a "{names}"'
    ' in the orders {first:d} to {last:d}'
)
def check_restarts(context: Any, names: str, first: int, last: int) -> None:
    """Play the orders of these seeds with restarts."""
    violations = explore(first, last - first + 1, parse_restarts(names))
    assert not violations, violations
