"""Checks of a service document that concern several of its fields."""

from collections.abc import Iterable, Iterator
from typing import Final

from mimosapond.field_rule import AddressRule, ChoiceRule, NameRule
from mimosapond.group_spec import GroupSpec
from mimosapond.service_document import ServiceDocument
from mimosapond.work_class import WorkClass
from mimosapond.yaml_mapping import YamlMapping

NAME_RULE: Final = NameRule()
CLASS_RULE: Final = ChoiceRule(tuple(WorkClass))
_CONNECTIONS: Final = 'connection_limit_count'


def check_document(document: ServiceDocument, mapping: YamlMapping) -> None:
    """Report the faults that no single field shows.

    Parameters
    ----------
    document
        As far as it could be read; a faulty field is empty or 0.
    mapping
        Where it was read from, for the line numbers.
    """
    groups = tuple(mapping.mappings('groups'))
    workspaces = tuple(mapping.mappings('workspaces'))
    members = tuple(_members(groups))
    for entries in (groups, workspaces, members):
        _check_unique('name', _named(entries))
    _check_unique('address', _addressed(members))
    _check_promises(mapping)
    for entry in groups:
        _check_members(entry)
    if not groups and mapping.is_list('groups'):
        mapping.report('groups', 'there is no group.', 'Declare one.')
    if not workspaces and mapping.is_list('workspaces'):
        mapping.report('workspaces', 'there is no workspace.', 'Declare one.')
    for specification, entry in zip(
        document.workspaces, workspaces, strict=True
    ):
        group = _check_group(document, specification.group, entry)
        if group is not None:
            _check_limit(group, specification.connection_limit_count, entry)


def _members(groups: Iterable[YamlMapping]) -> Iterator[YamlMapping]:
    for group in groups:
        yield from group.mappings('members')


def _named(
    entries: Iterable[YamlMapping],
) -> Iterator[tuple[YamlMapping, str]]:
    for entry in entries:
        yield entry, entry.text('name', NAME_RULE)


def _addressed(
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
    promised = {word for _, word in entries}
    missing = [word for word in WorkClass if word not in promised]
    if missing and mapping.is_list('promises'):
        words = ', '.join(missing)
        mapping.report(
            'promises',
            f'no promise is given for {words}.',
            'Give one promise for each work class.',
        )


def _check_members(entry: YamlMapping) -> None:
    members = tuple(entry.mappings('members'))
    if not members and entry.is_list('members'):
        entry.report('members', 'the group has no member.', 'Declare one.')


def _check_group(
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


def _check_limit(
    group: GroupSpec, limit_count: int, entry: YamlMapping
) -> None:
    offered = min(
        (member.connection_limit_count for member in group.members),
        default=limit_count,
    )
    if limit_count > offered:
        entry.report(
            _CONNECTIONS,
            f'{limit_count} is more than a member of {group.name} offers.',
            f'Use at most {offered}.',
        )
