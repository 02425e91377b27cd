"""Steps of pages.feature."""

from types import MappingProxyType
from typing import Any

import attrs
from behave import then

from features.code_names import find_names, is_listed, read_rows
from features.product_builders import ROOT
from mimosapond.degraded_path import DegradedPath
from mimosapond.exit_code import ExitCode
from mimosapond.options import Options
from mimosapond.refusal_reason import RefusalReason
from mimosapond.statement_request import StatementRequest


KINDS_BY_PAGE = MappingProxyType(
    {'metrics.md': ('metric',), 'logs.md': ('decision', 'log event')},
)


def list_expected_texts(kind: str) -> list[str]:
    """Return the texts that a page must contain, one for each name."""
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
    """Check that the page contains the text for every name."""
    text = (ROOT / 'docs' / page).read_text(encoding='utf-8')
    expected = list_expected_texts(kind)
    missing = [each for each in expected if each not in text]
    assert expected, kind
    assert not missing, missing


@then('the page "{page}" has a row for each {kind} in the code')
def check_names(context: Any, page: str, kind: str) -> None:
    """Check that every name in the code has a row."""
    rows = read_rows((ROOT / 'docs' / page).read_text(encoding='utf-8'))
    names = find_names(ROOT / 'mimosapond', kind)
    missing = [name for name in names if not is_listed(name, rows)]
    assert names, kind
    assert not missing, missing


@then('the page "{page}" has no row for a name that is not in the code')
def check_rows(context: Any, page: str) -> None:
    """Check that every row has a name in the code."""
    rows = read_rows((ROOT / 'docs' / page).read_text(encoding='utf-8'))
    names = [
        name
        for kind in KINDS_BY_PAGE[page]
        for name in find_names(ROOT / 'mimosapond', kind)
    ]
    stale = [
        row
        for row in rows
        if not any(is_listed(name, frozenset((row,))) for name in names)
    ]
    assert rows, page
    assert not stale, stale
