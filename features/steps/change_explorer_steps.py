"""Steps of change_explorer.feature."""

from typing import Any

from behave import then

from features.change_explorer import explore
from features.change_fault import parse_faults


@then(
    'no confirmed commit is lost beside {names} events'
    ' in the whole orders {first:d} to {last:d}'
)
def check_orders(context: Any, names: str, first: int, last: int) -> None:
    """Play the orders of these seeds with some kinds of events."""
    violations = explore(first, last - first + 1, parse_faults(names))
    assert not violations, violations
