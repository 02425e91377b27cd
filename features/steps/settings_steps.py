"""Steps of settings.feature."""

import pathlib
import tempfile
from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.product_builders import (
    OPERATOR_SECRET,
    PEER_SECRET,
    ROOT,
    build_settings_text,
)
from mimosapond.document_loader import load_document
from mimosapond.file_problem import InvalidFile
from mimosapond.options import Options
from mimosapond.service_document import ServiceDocument
from mimosapond.settings_loader import load_settings, parse_settings

_NO_FOLDER = pathlib.Path('/nonexistent')
_YAML_INDICATORS = st.text('\'"*&!%@`|>{}[]:#,- \t', max_size=4)


@when('settings with the line "{change}" are loaded')
def load_changed(context: Any, change: str) -> None:
    """Load valid settings with one line changed."""
    context.loaded = parse_settings(build_settings_text(change), _NO_FOLDER, {})


@when('these settings are loaded')
def load_text(context: Any) -> None:
    """Load the text of the scenario."""
    context.loaded = parse_settings(context.text, _NO_FOLDER, {})


@when('the peer secret is given by "{source}"')
def load_secret(context: Any, source: str) -> None:
    """Load settings whose peer secret comes from ``source``."""
    name = 'peer_secret' if source == 'inline' else f'peer_secret_{source}'
    entries = {'inline': PEER_SECRET, 'file': 'secret', 'env': 'SECRET'}
    base = build_settings_text('-peer_secret')
    text = f'{base}\n{name}: {entries[source]}'
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder, 'host.yaml')
        path.write_text(text, encoding='utf-8')
        path.with_name('secret').write_text(f'{PEER_SECRET}\n', 'utf-8')
        context.loaded = load_settings(path, {'SECRET': PEER_SECRET})


@then('the only settings problem is in field "{field}" and says "{text}"')
def check_problem(context: Any, field: str, text: str) -> None:
    """Check the field and the text; there must be a remedy."""
    assert isinstance(context.loaded, InvalidFile), context.loaded
    assert len(context.loaded.problems) == 1, context.loaded
    problem = context.loaded.problems[0]
    assert problem.field == field, problem
    assert text in str(problem), problem
    assert problem.remedy, problem


@then('the settings problems are')
def check_problems(context: Any) -> None:
    """Compare the lines and fields of all problems."""
    expected = [(int(row['line']), row['field']) for row in context.table]
    found = [(each.line_number, each.field) for each in context.loaded.problems]
    assert found == expected, context.loaded


@then('the settings hold the peer secret and their text does not show it')
def check_secret(context: Any) -> None:
    """Check the secret; ``repr`` and ``str`` must not contain it."""
    assert isinstance(context.loaded, Options), context.loaded
    assert context.loaded.peer_secret == PEER_SECRET
    for shown in (repr(context.loaded), str(context.loaded)):
        assert PEER_SECRET not in shown, shown
        assert OPERATOR_SECRET not in shown, shown


@then('no settings problem quotes the secret of any malformed file')
def check_quotes(context: Any) -> None:
    """Load files whose secret is surrounded by indicator characters."""
    check_malformed()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(_YAML_INDICATORS, _YAML_INDICATORS)
def check_malformed(before: str, after: str) -> None:
    """Check that the problems of one malformed file omit the secret."""
    base = build_settings_text('-peer_secret')
    text = f'{base}\npeer_secret: {before}{PEER_SECRET}{after}\n'
    loaded = parse_settings(text, _NO_FOLDER, {})
    if isinstance(loaded, InvalidFile):
        shown = '\n'.join(str(each) for each in loaded.problems)
        assert PEER_SECRET not in shown, (text, shown)


@then('every example settings file and document loads')
def check_examples(context: Any) -> None:
    """Load each settings file and document of the folder examples."""
    environment = {'MIMOSAPOND_OPERATOR_SECRET': OPERATOR_SECRET}
    hosts = sorted((ROOT / 'examples').glob('*/host-*.yaml'))
    documents = sorted((ROOT / 'examples').glob('*/service.yaml'))
    assert len(hosts) == 16, hosts
    assert len(documents) == 2, documents
    for path in hosts:
        loaded = load_settings(path, environment)
        assert isinstance(loaded, Options), loaded
    for path in documents:
        found = load_document(path)
        assert isinstance(found, ServiceDocument), found
