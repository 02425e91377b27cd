"""Formats the output of ``mimosapond status``."""

from collections.abc import Iterable, Sequence
from typing import Final, TypeAlias

from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord
from mimosapond.host_status import HostStatus

Row: TypeAlias = Sequence[object]
_NO_ROWS: Final = '(none)'


def status_text(status: HostStatus) -> str:
    """Return the status of a host as titled tables."""
    host = status.host
    sections = (
        f'host {host.host_id} in {host.data_centre}: {host.state}',
        _section(
            'hosts',
            ('host', 'data centre', 'address', 'state'),
            (
                (each.host_id, each.data_centre, each.address, each.state)
                for each in sorted(status.hosts, key=_location)
            ),
        ),
        _section(
            'groups',
            ('group', 'term', 'primary', 'holder'),
            (
                (each.group, each.term, each.primary, each.holder)
                for each in sorted(status.groups, key=_group_name)
            ),
        ),
        _members(status),
        _section(
            'leaving targets', ('member',), ((name,) for name in status.leaving)
        ),
        _section(
            'documents',
            ('service', 'revision'),
            ((each.service, each.revision) for each in status.documents),
        ),
        _section(
            'degraded paths', ('path', 'problem'), status.degraded.items()
        ),
    )
    return '\n\n'.join(sections)


def table(header: Row, rows: Iterable[Row]) -> str:
    """Return a table whose columns are padded to the width of their cells."""
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    lines = (
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )
    return '\n'.join(lines)


def _members(status: HostStatus) -> str:
    return _section(
        'owned members',
        ('member', 'group', 'queue length', 'leaving'),
        (
            (
                each.name,
                each.group,
                each.queue_length_count,
                'yes' if each.is_leaving else 'no',
            )
            for each in status.members
        ),
    )


def _location(host: HostRecord) -> tuple[str, str]:
    return host.data_centre, host.host_id


def _group_name(view: GroupView) -> str:
    return view.group


def _section(title: str, header: Row, rows: Iterable[Row]) -> str:
    all_rows = tuple(rows)
    body = table(header, all_rows) if all_rows else _NO_ROWS
    return f'{title}\n{body}'
