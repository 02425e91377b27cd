"""Shows each host its own addresses of members and of other hosts.

A host that asks the store at an address of its own is sent to ports of that
address. A proxy that listens there can then cut a single host off from a
single member or host.
"""

import base64
import json
from collections.abc import Mapping
from typing import Any, Final, final

from standins.platform_services.faulty_server import ServiceAnswer

_LOOPBACK: Final = '127.0.0.1'
# Fields that hold an address, in registrations and in hosts' announcements.
_FIELDS: Final = ('addr', 'address')


@final
class LinkAddresses:
    """Replaces addresses in rows by those of the asking host's links."""

    def __init__(self, ports: Mapping[str, int]) -> None:
        """Take the port that stands for each address."""
        self._ports = ports

    def shown_to(self, asked_at: str, answer: ServiceAnswer) -> ServiceAnswer:
        """Return an answer of the store for the host that asks at an address.

        Callers that ask at 127.0.0.1 see the rows as they are.
        """
        status, body = answer
        if asked_at == _LOOPBACK or 'rows' not in body:
            return answer
        rows = [self._replaced(asked_at, row) for row in body['rows']]
        return status, {**body, 'rows': rows}

    def _replaced(self, ip: str, row: Mapping[str, Any]) -> Mapping[str, Any]:
        try:
            entry = json.loads(base64.b64decode(row['value']))
            links = {
                field: f'{ip}:{self._ports[entry[field]]}'
                for field in _FIELDS
                if entry.get(field) in self._ports
            }
        except (ValueError, KeyError, TypeError, AttributeError):
            # A dropped row, or one of another form, is shown as it is.
            return row
        content = json.dumps({**entry, **links})
        return {**row, 'value': base64.b64encode(content.encode()).decode()}
