"""Steps of pages.feature."""

from typing import Any

import attrs
from behave import then

from features.product_builders import ROOT
from mimosapond.degraded_path import DegradedPath
from mimosapond.exit_code import ExitCode
from mimosapond.options import Options
from mimosapond.refusal_reason import RefusalReason
from mimosapond.statement_request import StatementRequest


def list_words(kind: str) -> list[str]:
    """Return the text that a page must have for each word."""
    match kind:
        case 'settings field':
            return [f'| `{each.name}` |' for each in attrs.fields(Options)]
        case 'refusal reason':
            return [f'| `{each}` |' for each in RefusalReason]
        case 'request field':
            fields = attrs.fields(StatementRequest)
            return [f'`{each.name}`' for each in fields]
        case 'degraded path':
            return [f'| `degraded.{each}` |' for each in DegradedPath]
        case _:
            return [f'| {each.value} |' for each in ExitCode]


@then('the page "{page}" lists every {kind}')
def check_page(context: Any, page: str, kind: str) -> None:
    """Look for each word."""
    text = (ROOT / 'docs' / page).read_text(encoding='utf-8')
    words = list_words(kind)
    missing = [word for word in words if word not in text]
    assert words, kind
    assert not missing, missing
