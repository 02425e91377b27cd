"""Shows each host its own addresses of the members.

A host that asks the store at an address of its own is sent to members at that
address, on the ports that the members have. A proxy that listens there can
then cut a single host off from a single member.
"""

import base64
import json
from collections.abc import Mapping
from typing import Any, Final, final

from standins.platform_services.faulty_server import ServiceAnswer

_TABLE: Final = 'servers'
_LOOPBACK: Final = '127.0.0.1'


@final
class MemberAddresses:
    """Replaces the IP address in the registrations of members."""

    def shown_to(self, asked_at: str, answer: ServiceAnswer) -> ServiceAnswer:
        """Return an answer of the store for the host that asks at an address.

        Callers that ask at 127.0.0.1 see the rows as they are.
        """
        status, body = answer
        if asked_at == _LOOPBACK or 'rows' not in body:
            return answer
        rows = [_replaced(asked_at, row) for row in body['rows']]
        return status, {**body, 'rows': rows}


def _replaced(ip: str, row: Mapping[str, Any]) -> Mapping[str, Any]:
    if row['table'] != _TABLE or 'value' not in row:
        return row
    try:
        entry = json.loads(base64.b64decode(row['value']))
        port = entry['addr'].rpartition(':')[2]
    except (ValueError, KeyError, TypeError, AttributeError):
        # An entry of another writer is shown as it is.
        return row
    content = json.dumps({**entry, 'addr': f'{ip}:{port}'})
    return {**row, 'value': base64.b64encode(content.encode()).decode()}
