"""Asks the term holder to settle the outcome of an earlier request."""

from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.completed import Completed
from mimosapond.entry_services import EntryServices
from mimosapond.errors import unknown
from mimosapond.holder_route import HolderRoute, find_holder
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.routed_request import RoutedRequest

_ANSWER_MARGIN_S: Final = 0.05
_SETTLING: Final = frozenset(
    (
        RefusalReason.REQUEST_CANCELLED,
        RefusalReason.REQUEST_EXPIRED,
    )
)


@final
class SettleRouter:
    """Repeats the question until it is settled or the deadline passes."""

    def __init__(self, services: EntryServices) -> None:
        """Take the shared parts of the entry host."""
        self._services = services

    async def run(self, routed: RoutedRequest) -> Outcome:
        """Settle the request id of ``routed``."""
        return await self.settle(
            routed.group.name,
            routed.request.request_id,
            routed.deadline_s,
        )

    async def settle(
        self,
        group: str,
        request_id: str,
        deadline_s: float,
    ) -> Outcome:
        """Settle ``request_id`` at the holder of ``group``."""
        while True:
            route = await find_holder(self._services, group, deadline_s)
            if route is None:
                return unknown(
                    request_id,
                    'no holder could settle it before the deadline',
                )
            outcome = await self._ask(route, request_id, deadline_s)
            if outcome is not None:
                return outcome
            self._services.gate.hold(group, route.view.term)

    async def _ask(
        self,
        route: HolderRoute,
        request_id: str,
        deadline_s: float,
    ) -> Outcome | None:
        left_s = deadline_s - self._services.clock.monotonic_s()
        self._services.decisions.record(
            'route_settle',
            'holder of the newest known term',
            request_id=request_id,
            group=route.view.group,
            member=route.view.primary,
            term=route.view.term,
            holder=route.host.host_id,
            left_ms=int(left_s * MS_PER_S),
        )
        body = {
            'group': route.view.group,
            'request_id': request_id,
            'deadline_ms': max(1, int(left_s * MS_PER_S)),
        }
        answer = await self._services.caller.request(
            route.host,
            'settle',
            body,
            left_s + _ANSWER_MARGIN_S,
        )
        match answer:
            case Completed():
                return answer
            case Refused(reason=reason) if reason in _SETTLING:
                return answer
            case _:
                return None
