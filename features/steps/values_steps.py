"""Steps of values.feature."""

from typing import Any

from behave import given, then, when

from features.builders import build_standing
from mimosapond.request_id import RequestId
from mimosapond.token import Token


@when('the {kind} "{text}" is parsed')
def parse_text(context: Any, kind: str, text: str) -> None:
    """Parse a token or a request id."""
    parser = Token.parse if kind == 'token' else RequestId.parse
    context.parsed = parser(text)


@then('the parsed text is "{expected}"')
def check_text(context: Any, expected: str) -> None:
    """Compare the text form."""
    text = 'none' if context.parsed is None else str(context.parsed)
    assert text == expected, text


@given('a log with terms "{terms}" up to position {position:d}')
def build_log(context: Any, terms: str, position: int) -> None:
    """Build a standing from ``term:first_position`` pairs."""
    history = tuple(
        (int(term), int(first))
        for term, first in (pair.split(':') for pair in terms.split())
    )
    context.standing = build_standing(history, position)


@then('the entry of term {term:d} at {position:d} is {verdict}')
def check_entry(context: Any, term: int, position: int, verdict: str) -> None:
    """Compare whether the log contains the entry."""
    is_contained = context.standing.contains(term, position)
    assert is_contained == (verdict == 'contained')
