"""Loads a service document from YAML or JSON, which is a subset of YAML.

The same checks run in the command-line tool, which shows the operator line
numbers, and at the host that accepts the document, since it must not rely on
the checks of the sender.
"""

import pathlib
from collections.abc import Iterator
from typing import Final, TypeAlias

from mimosapond.class_promise import ClassPromise
from mimosapond.document_checks import CLASS_RULE, NAME_RULE, check_document
from mimosapond.field_rule import (
    AddressRule,
    WholeNumberRule,
)
from mimosapond.file_problem import (
    FileProblem,
    InvalidFile,
    invalid_file,
    unreadable_file,
)
from mimosapond.group_spec import GroupSpec
from mimosapond.member_address import MemberAddress
from mimosapond.service_document import ServiceDocument
from mimosapond.work_class import WorkClass
from mimosapond.workspace_spec import WorkspaceSpec
from mimosapond.yaml_mapping import YamlMapping, compose_mapping

SCHEMA_VERSION: Final = 1
_MS_PER_DAY: Final = 86_400_000
_COUNT_RULE: Final = WholeNumberRule(1, 100_000)
_DEADLINE_RULE: Final = WholeNumberRule(1, _MS_PER_DAY)
# A maximum age of 0 sends all reads to the primary.
_MAX_AGE_RULE: Final = WholeNumberRule(0, _MS_PER_DAY)
_CONNECTION_LIMIT_FIELD: Final = 'connection_limit_count'
_DEFAULT_MEMBER: Final = MemberAddress('', '', '')
_DEFAULT_WORKSPACE: Final = WorkspaceSpec('', '')

LoadedDocument: TypeAlias = ServiceDocument | InvalidFile


def load_document(path: pathlib.Path) -> LoadedDocument:
    """Load the service document at ``path``.

    A file that cannot be read or parsed, or that has problems, gives
    ``InvalidFile``.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return InvalidFile((unreadable_file(path, error),))
    return parse_document(text)


def parse_document(text: str) -> LoadedDocument:
    """Parse a document; ``InvalidFile`` lists every problem found."""
    problems: list[FileProblem] = []
    mapping = compose_mapping(text, problems)
    if mapping is None:
        return invalid_file(problems)
    if not _check_version(mapping):
        return invalid_file(problems)
    document = _read_document(mapping)
    mapping.report_unknown()
    check_document(document, mapping)
    return invalid_file(problems) if problems else document


def _check_version(mapping: YamlMapping) -> bool:
    # The fields of another version are unknown, so nothing else is checked.
    name = 'schema_version'
    mapping.require(name)
    if not mapping.has(name):
        return False
    version = mapping.whole_number(name, _COUNT_RULE)
    if version > SCHEMA_VERSION:
        mapping.report(
            name,
            f'version {version} is newer than this program supports.',
            f'Use version {SCHEMA_VERSION}, or a newer program.',
        )
    return version == SCHEMA_VERSION


def _read_document(mapping: YamlMapping) -> ServiceDocument:
    mapping.require('service', 'groups', 'workspaces', 'promises')
    return ServiceDocument(
        service=mapping.text('service', NAME_RULE),
        groups=tuple(
            _read_group(entry) for entry in mapping.mappings('groups')
        ),
        workspaces=tuple(
            _read_workspace(entry) for entry in mapping.mappings('workspaces')
        ),
        promises=tuple(_read_promises(mapping)),
    )


def _read_group(mapping: YamlMapping) -> GroupSpec:
    mapping.require('name', 'members')
    group = GroupSpec(
        mapping.text('name', NAME_RULE),
        tuple(_read_member(entry) for entry in mapping.mappings('members')),
    )
    mapping.report_unknown()
    return group


def _read_member(mapping: YamlMapping) -> MemberAddress:
    mapping.require('name', 'data_centre', 'address')
    member = MemberAddress(
        name=mapping.text('name', NAME_RULE),
        data_centre=mapping.text('data_centre', NAME_RULE),
        address=mapping.text('address', AddressRule()),
        slot_count=mapping.whole_number(
            'slot_count', _COUNT_RULE, _DEFAULT_MEMBER.slot_count
        ),
        connection_limit_count=mapping.whole_number(
            _CONNECTION_LIMIT_FIELD,
            _COUNT_RULE,
            _DEFAULT_MEMBER.connection_limit_count,
        ),
    )
    mapping.report_unknown()
    return member


def _read_workspace(mapping: YamlMapping) -> WorkspaceSpec:
    mapping.require('name', 'group')
    workspace = WorkspaceSpec(
        name=mapping.text('name', NAME_RULE),
        group=mapping.text('group', NAME_RULE),
        connection_limit_count=mapping.whole_number(
            _CONNECTION_LIMIT_FIELD,
            _COUNT_RULE,
            _DEFAULT_WORKSPACE.connection_limit_count,
        ),
    )
    mapping.report_unknown()
    return workspace


def _read_promises(mapping: YamlMapping) -> Iterator[ClassPromise]:
    for entry in mapping.mappings('promises'):
        entry.require('work_class', 'deadline_ms', 'max_age_ms')
        name = entry.text('work_class', CLASS_RULE)
        deadline_ms = entry.whole_number('deadline_ms', _DEADLINE_RULE)
        max_age_ms = entry.whole_number('max_age_ms', _MAX_AGE_RULE)
        entry.report_unknown()
        if name:
            yield ClassPromise(WorkClass(name), deadline_ms, max_age_ms)
