"""Builders of settings files, documents and statuses for tests."""

import pathlib
from collections.abc import Sequence
from typing import Final

from mimosapond.document_loader import parse_document
from mimosapond.file_problem import InvalidFile
from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord
from mimosapond.host_status import DocumentStatus, HostStatus, MemberStatus
from mimosapond.service_document import ServiceDocument

ROOT: Final = pathlib.Path(__file__).parent.parent
FORGE_DOCUMENT: Final = ROOT / 'examples' / 'forge' / 'service.yaml'
OPERATOR_SECRET: Final = 'operator-secret-for-tests'
PEER_SECRET: Final = 'peer-secret-for-tests'
_SETTINGS: Final = (
    'host_name: kigali-a-1',
    'data_centre: kigali-a',
    'caller_address: 127.0.0.1:17001',
    'peer_address: 127.0.0.1:17002',
    'operator_address: 127.0.0.1:17003',
    'platform_address: 127.0.0.1:17090',
    f'peer_secret: {PEER_SECRET}',
    f'operator_secret: {OPERATOR_SECRET}',
)
_HOST_SETTINGS: Final = (
    'host: kig-a-1',
    'data_centre: kig-a',
    'caller_address: 127.0.0.1:17001',
    'ready_address: 127.0.0.1:17002',
    'peer_address: 127.0.0.1:17003',
    'store_address: 127.0.0.1:17090',
    'promotion_address: 127.0.0.1:17091',
)


def build_settings_text(change: str) -> str:
    """Build valid settings with one line replaced, added or removed.

    Parameters
    ----------
    change
        ``name: value``, or ``-name`` to remove a line.
    """
    return _apply_change(_SETTINGS, change)


def build_host_settings_text(change: str) -> str:
    """Build valid settings of a host on the platform with one line changed.

    Parameters
    ----------
    change
        ``name: value``, or ``-name`` to remove a line.
    """
    return _apply_change(_HOST_SETTINGS, change)


def _apply_change(settings: Sequence[str], change: str) -> str:
    name = change.removeprefix('-').partition(':')[0]
    lines = [line for line in settings if not line.startswith(f'{name}:')]
    if change and not change.startswith('-'):
        lines.append(change)
    return '\n'.join(lines)


def build_document(revision: int = 0) -> ServiceDocument:
    """Build the service document of the forge example at a revision."""
    text = FORGE_DOCUMENT.read_text(encoding='utf-8')
    parsed = parse_document(text)
    assert not isinstance(parsed, InvalidFile), parsed
    return ServiceDocument(
        parsed.service,
        parsed.groups,
        parsed.workspaces,
        parsed.promises,
        revision,
    )


def build_status() -> HostStatus:
    """Build the status of a host with one degraded path."""
    host = HostRecord('kigali-a-1.4f2a', '127.0.0.1:17002', 'kigali-a')
    return HostStatus(
        host=host,
        hosts=(host,),
        groups=(GroupView('forge-a', 3, 'forge-a-1', host.host_id),),
        members=(MemberStatus('forge-a-1', 'forge-a', 17),),
        documents=(DocumentStatus('forge-ledger', 4),),
        degraded={'platform_unreachable/table': 'no answer in 1000 ms'},
    )
