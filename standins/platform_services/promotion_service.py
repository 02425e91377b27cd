"""Stand-in for the platform's call that promotes a member."""

import json
import time
from collections.abc import Callable, Mapping
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
# Time within which two holders must not call in turn.
_TURN_S: Final = 3.0


@final
@attrs.frozen
class _PromotionCall:
    holder: str
    token: int
    called_s: float


@final
class PromotionService:
    """Checks fencing tokens and forwards calls to the process of the group.

    Attributes
    ----------
    violations
        One text for each token that two different holders used, and for each
        time that two holders called in turn while the store had no fault.
    """

    def __init__(
        self,
        groups: Mapping[str, str],
        late_s: float,
        is_store_disturbed: Callable[[], bool],
    ) -> None:
        """Create the server without listening.

        Parameters
        ----------
        groups
            Control address (``ip:port``) of each group by name.
        late_s
            Delay of calls under the fault ``applies_late``.
        is_store_disturbed
            Tells whether the store has or had a fault shortly before. Hosts
            cannot exclude each other then.
        """
        self._groups = groups
        self._is_store_disturbed = is_store_disturbed
        # The newest calls of each group, each by another holder than the one
        # before; the last one is the newest.
        self._newest_calls: dict[str, list[_PromotionCall]] = {}
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
                    float(body.get('late_s', 0)),
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
            # The call may have been delayed since it arrived.
            time.monotonic() - request.request_time(),
        )
        earlier = self._newest_calls.get(group, [])
        newest = earlier[-1] if earlier else None
        if newest is not None and call.token < newest.token:
            return HTTPStatus.CONFLICT, {'reason': 'lower fencing token'}
        self._check_holder(group, call, newest)
        if newest is not None and newest.holder == call.holder:
            earlier.pop()
        else:
            self._check_turns(group, call, earlier)
        self._newest_calls[group] = [*earlier[-1:], call]
        return await self._forward(group, member_id, call)

    def _check_turns(
        self, group: str, call: _PromotionCall, earlier: list[_PromotionCall]
    ) -> None:
        """Record a holder that calls again soon after another one did."""
        is_turn = bool(earlier) and earlier[0].holder == call.holder
        if not is_turn or self._is_store_disturbed():
            return
        if call.called_s - earlier[0].called_s < _TURN_S:
            self.violations.append(
                f'ONE {group}: {call.holder} and {earlier[-1].holder} promote '
                f'in turn with the tokens up to {call.token}',
            )

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

    async def _forward(
        self, group: str, member_id: str, call: _PromotionCall
    ) -> ServiceAnswer:
        try:
            found = await self._client.fetch(
                f'http://{self._groups[group]}/promote',
                method='POST',
                body=json.dumps({'member_id': member_id, **attrs.asdict(call)}),
                request_timeout=_FORWARD_TIMEOUT_S,
                raise_error=False,
            )
        except (HTTPError, OSError):
            return HTTPStatus.SERVICE_UNAVAILABLE, {}
        return HTTPStatus(found.code), {}
