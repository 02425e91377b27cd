"""Checks of a service document that involve several fields."""

from collections.abc import Iterable, Iterator
from typing import Final

from mimosapond.field_rule import AddressRule, ChoiceRule, NameRule
from mimosapond.group_spec import GroupSpec
from mimosapond.service_document import ServiceDocument
from mimosapond.work_class import WorkClass
from mimosapond.yaml_mapping import YamlMapping

NAME_RULE: Final = NameRule()
CLASS_RULE: Final = ChoiceRule(tuple(WorkClass))
_CONNECTION_LIMIT_FIELD: Final = 'connection_limit_count'


def check_document(document: ServiceDocument, mapping: YamlMapping) -> None:
    """Report problems that the checks of single fields cannot find.

    These are duplicate names and addresses, empty lists, missing work classes,
    references to undeclared groups and connection limits that are too high.

    Parameters
    ----------
    document
        Document as read from the file. A field that could not be read is
        empty or 0.
    mapping
        Parsed file, which supplies line numbers and collects the problems.
    """
    groups = tuple(mapping.mappings('groups'))
    workspaces = tuple(mapping.mappings('workspaces'))
    members = tuple(_members(groups))
    for entries in (groups, workspaces, members):
        _check_unique('name', _with_names(entries))
    _check_unique('address', _with_addresses(members))
    _check_promises(mapping)
    for entry in groups:
        _check_members(entry)
    if not groups and mapping.is_list('groups'):
        mapping.report('groups', 'there is no group.', 'Declare one.')
    if not workspaces and mapping.is_list('workspaces'):
        mapping.report('workspaces', 'there is no workspace.', 'Declare one.')
    for workspace, entry in zip(document.workspaces, workspaces, strict=True):
        group = _check_group_reference(document, workspace.group, entry)
        if group is not None:
            _check_connection_limit(
                group, workspace.connection_limit_count, entry
            )


def _members(groups: Iterable[YamlMapping]) -> Iterator[YamlMapping]:
    for group in groups:
        yield from group.mappings('members')


def _with_names(
    entries: Iterable[YamlMapping],
) -> Iterator[tuple[YamlMapping, str]]:
    for entry in entries:
        yield entry, entry.text('name', NAME_RULE)


def _with_addresses(
    entries: Iterable[YamlMapping],
) -> Iterator[tuple[YamlMapping, str]]:
    for entry in entries:
        yield entry, entry.text('address', AddressRule())


def _check_unique(
    field: str,
    entries: Iterable[tuple[YamlMapping, str]],
) -> None:
    first_lines: dict[str, int] = {}
    for entry, text in entries:
        if text and text in first_lines:
            entry.report(
                field,
                f'{text} is already used in line {first_lines[text]}.',
                f'Use each {field} once.',
            )
        first_lines.setdefault(text, entry.line_of(field))


def _check_promises(mapping: YamlMapping) -> None:
    entries = [
        (entry, entry.text('work_class', CLASS_RULE))
        for entry in mapping.mappings('promises')
    ]
    _check_unique('work_class', entries)
    declared = {name for _, name in entries}
    missing = [name for name in WorkClass if name not in declared]
    if missing and mapping.is_list('promises'):
        names = ', '.join(missing)
        mapping.report(
            'promises',
            f'no promise is given for {names}.',
            'Give one promise for each work class.',
        )


def _check_members(entry: YamlMapping) -> None:
    members = tuple(entry.mappings('members'))
    if not members and entry.is_list('members'):
        entry.report('members', 'the group has no member.', 'Declare one.')


def _check_group_reference(
    document: ServiceDocument,
    name: str,
    entry: YamlMapping,
) -> GroupSpec | None:
    group = document.group(name)
    if group is None and name:
        known = ', '.join(each.name for each in document.groups if each.name)
        entry.report(
            'group',
            f'there is no group {name}.',
            f'Use a declared group ({known}).',
        )
    return group


def _check_connection_limit(
    group: GroupSpec, limit_count: int, entry: YamlMapping
) -> None:
    offered = min(
        (member.connection_limit_count for member in group.members),
        default=limit_count,
    )
    if limit_count > offered:
        entry.report(
            _CONNECTION_LIMIT_FIELD,
            f'{limit_count} is more than a member of {group.name} offers.',
            f'Use at most {offered}.',
        )
