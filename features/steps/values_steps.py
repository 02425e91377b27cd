"""Steps of values.feature."""

import enum
import json
from typing import Any

import cattrs
from behave import given, then, when

from features.builders import build_standing
from mimosapond import codec
from mimosapond.request_id import RequestId
from mimosapond.statement_request import StatementRequest
from mimosapond.token import Token


@when('the {kind} "{text}" is parsed')
def parse_text(context: Any, kind: str, text: str) -> None:
    """Parse a token or a request id."""
    parser = Token.parse if kind == 'token' else RequestId.parse
    context.parsed = parser(text)


@then('the parsed text is "{expected}"')
def check_text(context: Any, expected: str) -> None:
    """Compare the text of the parsed value."""
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
    """Check whether the log contains the entry."""
    is_contained = context.standing.contains(term, position)
    assert is_contained == (verdict == 'contained')


@when('the request field "{field}" is decoded from {text}')
def decode_field(context: Any, field: str, text: str) -> None:
    """Decode a statement request with one field given as JSON."""
    body = {
        'service': 'forge',
        'workspace': 'forge-a-ws',
        'request_id': '1764830000000.abcdefghijklmnop',
        'mode': 'write',
        field: json.loads(text),
    }
    try:
        request = codec.decode(StatementRequest, body)
    except cattrs.BaseValidationError:
        context.decoded = 'refused'
    else:
        context.decoded = str(_describe(getattr(request, field)))


def _describe(field: object) -> object:
    return repr(field).split(':')[0].strip('<') if _is_enum(field) else field


def _is_enum(field: object) -> bool:
    return isinstance(field, enum.Enum)


@then('the decoded field is "{expected}"')
def check_field(context: Any, expected: str) -> None:
    """Compare the decoded field."""
    assert context.decoded == expected, context.decoded
