"""Stand-in for the platform's call that promotes a member."""

import json
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final, final

import attrs
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httputil import HTTPServerRequest

from standins.platform_services.faulty_server import (
    FaultyServer,
    ServiceAnswer,
)
from standins.platform_services.store_fault import StoreFault

_FORWARD_TIMEOUT_S: Final = 5.0


@final
@attrs.frozen
class _PromotionCall:
    holder: str
    token: int


@final
class PromotionService:
    """Checks fencing tokens and forwards calls to the process of the group.

    Attributes
    ----------
    violations
        One text for each token that two different holders used.
    """

    def __init__(self, groups: Mapping[str, str], late_s: float) -> None:
        """Create the server without listening.

        Parameters
        ----------
        groups
            Control address (``ip:port``) of each group by name.
        late_s
            Delay of calls under the fault ``applies_late``.
        """
        self._groups = groups
        self._newest_calls: dict[str, _PromotionCall] = {}
        self._client = AsyncHTTPClient(force_instance=True)
        self.violations: list[str] = []
        self.server = FaultyServer(self._handle, late_s)

    async def _handle(self, request: HTTPServerRequest) -> ServiceAnswer:
        match request.path:
            case '/promote':
                return await self._promote(request)
            case '/standin/fault':
                body = json.loads(request.body)
                self.server.inject_fault(
                    StoreFault(body['kind']),
                    float(body['for_s']),
                    body.get('hosts', []),
                )
                return HTTPStatus.OK, {}
            case '/report':
                return HTTPStatus.OK, {'violations': self.violations}
            case _:
                return HTTPStatus.NOT_FOUND, {}

    async def _promote(self, request: HTTPServerRequest) -> ServiceAnswer:
        body = json.loads(request.body)
        group, member_id = body['service'], body['id']
        if group not in self._groups:
            return HTTPStatus.NOT_FOUND, {}
        call = _PromotionCall(
            request.headers['Duty-Holder'],
            int(request.headers['Fence-Token']),
        )
        newest = self._newest_calls.get(group)
        if newest is not None and call.token < newest.token:
            return HTTPStatus.CONFLICT, {'reason': 'lower fencing token'}
        self._check_holder(group, call, newest)
        self._newest_calls[group] = call
        return await self._forward(group, member_id)

    def _check_holder(
        self, group: str, call: _PromotionCall, newest: _PromotionCall | None
    ) -> None:
        if newest is None or call.token != newest.token:
            return
        if call.holder != newest.holder:
            self.violations.append(
                f'ONE {group}: {call.holder} and {newest.holder} promote with '
                f'the token {call.token}',
            )

    async def _forward(self, group: str, member_id: str) -> ServiceAnswer:
        try:
            found = await self._client.fetch(
                f'http://{self._groups[group]}/promote',
                method='POST',
                body=json.dumps({'member_id': member_id}),
                request_timeout=_FORWARD_TIMEOUT_S,
                raise_error=False,
            )
        except (HTTPError, OSError):
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        return HTTPStatus(found.code), {}
