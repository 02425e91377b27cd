"""Finds the floor of a read: the log entry that its data must include."""

from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse
from mimosapond.floor import Floor
from mimosapond.holder_route import HolderRoute, find_holder
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.routed_request import RoutedRequest
from mimosapond.token import Token

_RETRY_AFTER_MS: Final = 250
_CALL_TIMEOUT_S: Final = 0.5


@final
class FloorFinder:
    """Takes the floor from the token, or asks the term holder for it."""

    def __init__(self, services: EntryServices) -> None:
        """Use the shared parts of the entry host."""
        self._services = services

    async def find(self, routed: RoutedRequest) -> Floor | Refused | None:
        """Return the floor of a read.

        Returns
        -------
        Floor, Refused or None
            None when the read belongs to no session. A refusal when the token
            is invalid or no holder answered before the deadline.
        """
        if routed.request.token is not None:
            return _token_floor(routed, routed.request.token)
        if routed.request.session_id is None:
            return None
        return await self._session_floor(routed, routed.request.session_id)

    async def _session_floor(
        self,
        routed: RoutedRequest,
        session_id: str,
    ) -> Floor | Refused:
        group = routed.group.name
        while True:
            route = await find_holder(self._services, group, routed.deadline_s)
            if route is None:
                return refuse(
                    RefusalReason.NO_PRIMARY,
                    retry_after_ms=_RETRY_AFTER_MS,
                    group=group,
                    problem='the session has no token and no holder answered',
                )
            floor = await self._ask(routed, route, session_id)
            if floor is not None:
                return floor

    async def _ask(
        self,
        routed: RoutedRequest,
        route: HolderRoute,
        session_id: str,
    ) -> Floor | None:
        remaining_s = routed.deadline_s - self._services.clock.monotonic_s()
        timeout_s = max(0, min(remaining_s, _CALL_TIMEOUT_S))
        body = {
            'group': routed.group.name,
            'session_id': session_id,
            'timeout_ms': int(timeout_s * MS_PER_S),
        }
        answer = await self._services.host_client.floor(
            route.host, body, timeout_s
        )
        if isinstance(answer, Floor):
            self._services.gate.open(routed.group.name)
            return answer
        self._services.gate.hold(routed.group.name, route.view.term)
        return None


def _token_floor(routed: RoutedRequest, text: str) -> Floor | Refused:
    group = routed.group.name
    token = Token.parse(text)
    if token is None or token.group != group:
        return refuse(
            RefusalReason.BAD_TOKEN,
            problem=f'it does not belong to group {group}',
        )
    return Floor(token.term, token.position)
