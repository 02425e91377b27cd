"""Operator that writes configurations to the store."""

import base64
import json
import random
from typing import Any, Final, final

from soak.http_json import post_json
from soak.layout import Layout
from soak.route_kind import RouteKind

# Maximum age of reads on routes that allow stale reads.
MAX_AGE_MS: Final = 1500
_TIMEOUTS_MS: Final = (400, 1500, 3000)
_TRANSACTION_IDLE_MS: Final = 1200
_MAX_CONNECTION_COUNT: Final = 16
_MAX_EXTRA_ROUTE_COUNT: Final = 6


@final
class Operator:
    """Changes timeouts and adds and removes routes that no caller uses."""

    def __init__(self, layout: Layout, seed: int) -> None:
        """Create an operator that has not written a version yet."""
        self._layout = layout
        self._random = random.Random(f'operator {seed}')
        self._version = 0

    async def write_next(self) -> None:
        """Write a configuration with a higher version to the store."""
        self._version += self._random.randint(1, 3)
        content = json.dumps(self._configuration())
        await post_json(
            f'{self._layout.store_url}/standin/rows-put',
            {
                'table': 'op',
                'key': 'config',
                'value': base64.b64encode(content.encode()).decode(),
            },
        )

    def _configuration(self) -> dict[str, Any]:
        names = [group.name for group in self._layout.groups]
        routes = [
            self._route(f'{name}-{kind.value}', name, kind)
            for name in names
            for kind in RouteKind
        ]
        extra = [
            self._route(
                f'extra-{self._version}-{number}',
                self._random.choice(names),
                RouteKind.primary,
            )
            for number in range(self._random.randint(0, _MAX_EXTRA_ROUTE_COUNT))
        ]
        return {
            'version': self._version,
            'routes': routes + extra,
            'services': [
                {
                    'name': name,
                    'max_conns': _MAX_CONNECTION_COUNT,
                    'sync_replicas': 1,
                }
                for name in names
            ],
            'limits': {'tx_idle_ms': _TRANSACTION_IDLE_MS},
        }

    def _route(self, host: str, group: str, kind: RouteKind) -> dict[str, Any]:
        return {
            'host': host,
            'service': group,
            'kind': kind.value,
            'max_staleness_ms': MAX_AGE_MS,
            'timeout_ms': self._random.choice(_TIMEOUTS_MS),
            'priority': self._random.randint(0, 2),
        }
