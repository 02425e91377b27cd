"""Steps of document_files.feature."""

from typing import Any

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from features.product_builders import FORGE_DOCUMENT
from mimosapond.class_promise import ClassPromise
from mimosapond.document_body import document_text
from mimosapond.document_loader import parse_document
from mimosapond.file_problem import InvalidFile
from mimosapond.group_spec import GroupSpec
from mimosapond.member_address import MemberAddress
from mimosapond.service_document import ServiceDocument
from mimosapond.work_class import WorkClass
from mimosapond.workspace_spec import WorkspaceSpec

_COUNTS = st.integers(1, 100)
_AGES = st.integers(0, 1000)
# Names that YAML reads as numbers or booleans if they are not quoted.
_NAMES = st.sampled_from(('12', '1.5', 'true', 'null', 'on', '0x1f', 'g.a_b-c'))
_FRAGMENTS = st.sampled_from(
    ('schema_version: 1\n', 'groups:\n', '- ', '  ', 'members: ', 'name: a\n'),
)


@when('the forge document is loaded with "{old}" replaced by "{new}"')
def load_replaced(context: Any, old: str, new: str) -> None:
    """Load the example document with the first match replaced."""
    text = FORGE_DOCUMENT.read_text(encoding='utf-8')
    assert old in text, old
    context.found = parse_document(text.replace(old, new, 1))


@when('this document is loaded')
def load_document_text(context: Any) -> None:
    """Load the document text of the scenario."""
    context.found = parse_document(context.text)


@then('the document has {count:d} faults, one in "{field}" saying "{text}"')
def check_fault(context: Any, count: int, field: str, text: str) -> None:
    """Check the number of faults, and the text and remedy of one."""
    assert isinstance(context.found, InvalidFile), context.found
    assert len(context.found.problems) == count, context.found
    faults = [each for each in context.found.problems if each.field == field]
    assert len(faults) == 1, context.found
    assert text in str(faults[0]), faults
    assert faults[0].remedy, faults


@then('the document faults are')
def check_faults(context: Any) -> None:
    """Compare the lines and fields of all faults."""
    expected = sorted((int(row['line']), row['field']) for row in context.table)
    found = sorted(
        (each.line_number, each.field) for each in context.found.problems
    )
    assert found == expected, context.found


@then('any document is loaded unchanged from its own text')
def check_round_trips(context: Any) -> None:
    """Run the round trip for generated documents."""
    check_round_trip()


def build_group(
    name: str,
    index: int,
    slot_count: int,
    limit_count: int,
) -> GroupSpec:
    """Build a group with one member."""
    port = index + 1
    member = MemberAddress(
        name, name, f'127.0.0.1:{port}', slot_count, limit_count
    )
    return GroupSpec(name, (member,))


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(_NAMES, min_size=1, unique=True), _COUNTS, _COUNTS, _AGES)
def check_round_trip(
    names: list[str],
    slot_count: int,
    limit_count: int,
    max_age_ms: int,
) -> None:
    """Write a document as text and load it again."""
    groups = tuple(
        build_group(name, index, slot_count, limit_count)
        for index, name in enumerate(names)
    )
    document = ServiceDocument(
        names[0],
        groups,
        tuple(WorkspaceSpec(name, name, limit_count) for name in names),
        tuple(ClassPromise(each, 1, max_age_ms) for each in WorkClass),
    )
    assert parse_document(document_text(document)) == document


@then('any text is loaded as a document or reported with faults')
def check_texts(context: Any) -> None:
    """Load generated texts."""
    check_text()


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(_FRAGMENTS | st.text(max_size=5), max_size=8))
def check_text(parts: list[str]) -> None:
    """Load a text that is not a valid document."""
    found = parse_document(''.join(parts))
    assert isinstance(found, InvalidFile), found
    assert found.problems
