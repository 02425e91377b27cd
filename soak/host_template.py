"""Fills in the settings template of a host in the way the platform does."""

import pathlib
import re
from typing import Final

from soak.layout import HostLayout, Layout

_TEMPLATE: Final = pathlib.Path('deploy/host-settings.yaml')
_PLACEHOLDER: Final = re.compile(r'{{([\w.]+)}}')
# Sections that are rendered if a field is true, or if it is false.
_SECTION: Final = re.compile(r'{{([#^])([\w.]+)}}(.*?){{/\2}}')
_TRUE: Final = 'true'
_APPLY_MS: Final = 3000
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
        'bounds.config_apply_ms': str(_APPLY_MS),
        'bounds.require_fence': _TRUE,
        'limits.cpu_share': '1',
        'limits.cores': '1',
        'bootstrap': 'false',
    }
    template = _SECTION.sub(
        lambda found: (
            found[3]
            if (found[1] == '#') == (fields.get(found[2]) == _TRUE)
            else ''
        ),
        _TEMPLATE.read_text(encoding='utf-8'),
    )
    return _PLACEHOLDER.sub(lambda found: fields[found[1]], template)
