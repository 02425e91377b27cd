"""Client of the platform's HTTP call that promotes a replica."""

import asyncio
import json
from typing import Final, final

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest

from mimosapond.address_resolver import AddressResolver
from mimosapond.failover.promotion_port import (
    Promoted,
    PromotionOutcome,
    PromotionRefused,
    PromotionUnknown,
)

_OK: Final = 200
_CONFLICT: Final = 409


@final
class PromotionClient:
    """Promotes members; implements ``PromotionPort``."""

    def __init__(self, address: str, holder: str) -> None:
        """Create the client.

        Parameters
        ----------
        address
            ``ip:port`` of the platform's promotion service.
        holder
            Name of this host, which the platform gets with each promotion.
        """
        self._url = f'http://{address}/promote'
        self._holder = holder
        self._client = AsyncHTTPClient(
            force_instance=True, resolver=AddressResolver()
        )

    async def promote(
        self, group: str, member_id: str, token: int, limit_s: float
    ) -> PromotionOutcome:
        """Make a member the primary of the next term.

        Parameters
        ----------
        token
            Fencing token; the platform refuses a token that is lower than
            one it has seen.
        limit_s
            Timeout of the call.

        Returns
        -------
        PromotionOutcome
            PromotionUnknown if there was no usable answer; the promotion may
            still take place.
        """
        request = HTTPRequest(
            self._url,
            method='POST',
            headers={
                'Content-Type': 'application/json',
                'Duty-Holder': self._holder,
                'Fence-Token': str(token),
            },
            body=json.dumps({'service': group, 'id': member_id}),
            connect_timeout=limit_s,
            request_timeout=limit_s,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except (HTTPError, OSError, asyncio.TimeoutError) as error:
            return PromotionUnknown(repr(error))
        if response.code == _OK:
            return Promoted()
        if response.code == _CONFLICT:
            return PromotionRefused(response.body.decode(errors='replace'))
        return PromotionUnknown(f'HTTP status {response.code}')
