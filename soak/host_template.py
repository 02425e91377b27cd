"""Fills in the settings template of a host in the way the platform does."""

import pathlib
import re
from typing import Final

from soak.layout import HostLayout, Layout

_TEMPLATE: Final = pathlib.Path('deploy/settings.yaml')
_PLACEHOLDER: Final = re.compile(r'{{([\w.]+)}}')
_STOP_GRACE_S: Final = 6
_DRAIN_MS: Final = 7000


def render_settings(layout: Layout, host: HostLayout) -> str:
    """Return the content of the settings file of ``host``."""
    # The template itself combines ``ip`` and port to the peer address.
    fields = {
        'node': host.name,
        'zone': host.data_centre,
        'ip': host.ip,
        'listen.front': f'{host.ip}:{layout.front_port}',
        'listen.ready': f'{host.ip}:{layout.ready_port}',
        'internal_ports.0': str(layout.peer_port),
        'platform.addr': f'{host.ip}:{layout.store_port}',
        'cloud.addr': f'{host.ip}:{layout.promotion_port}',
        'bounds.grace_s': str(_STOP_GRACE_S),
        'bounds.drain_ms': str(_DRAIN_MS),
    }
    template = _TEMPLATE.read_text(encoding='utf-8')
    return _PLACEHOLDER.sub(lambda found: fields[found[1]], template)
