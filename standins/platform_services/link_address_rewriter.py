"""Rewrites addresses in table rows for each host.

Each host calls the store at its own server address. In the rows it receives,
the addresses of members and hosts are replaced by ports of that address, where
a proxy can cut the link from this host to one member or host.
"""

import base64
import json
from collections.abc import Mapping
from typing import Any, Final, final

from standins.platform_services.faulty_server import ServiceAnswer

_LOOPBACK: Final = '127.0.0.1'
# Address fields of member registrations and of host announcements.
_FIELDS: Final = ('addr', 'address')


@final
class LinkAddressRewriter:
    """Replaces addresses in rows by those of the requesting host's links."""

    def __init__(self, ports: Mapping[str, int]) -> None:
        """Store the link port of each address (``ip:port``)."""
        self._ports = ports

    def rewrite_for(
        self, server_ip: str, answer: ServiceAnswer
    ) -> ServiceAnswer:
        """Return an answer of the store with rewritten addresses.

        Parameters
        ----------
        server_ip
            Server address that the caller used; answers at 127.0.0.1 are
            not changed.
        """
        status, body = answer
        if server_ip == _LOOPBACK or 'rows' not in body:
            return answer
        rows = [self._rewritten(server_ip, row) for row in body['rows']]
        return status, {**body, 'rows': rows}

    def _rewritten(self, ip: str, row: Mapping[str, Any]) -> Mapping[str, Any]:
        try:
            entry = json.loads(base64.b64decode(row['value']))
            links = {
                field: f'{ip}:{self._ports[entry[field]]}'
                for field in _FIELDS
                if entry.get(field) in self._ports
            }
        except (ValueError, KeyError, TypeError, AttributeError):
            # Deleted rows and rows with other content are not changed.
            return row
        content = json.dumps({**entry, **links})
        return {**row, 'value': base64.b64encode(content.encode()).decode()}
