"""Asks the term holder for the final outcome of an earlier request."""

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

# Lets the holder's own answer at the deadline arrive first.
_ANSWER_MARGIN_S: Final = 0.05
# Refusals after which the request can never run.
_SETTLING_REASONS: Final = frozenset(
    (
        RefusalReason.REQUEST_CANCELLED,
        RefusalReason.REQUEST_EXPIRED,
    )
)


@final
class SettleRouter:
    """Repeats the query until the outcome is settled or time runs out.

    Settling cancels a request that has not run, so that it can never run.
    """

    def __init__(self, services: EntryServices) -> None:
        """Use the components that the routers of this host share."""
        self._services = services

    async def run(self, routed: RoutedRequest) -> Outcome:
        """Settle the outcome of the request id of ``routed``."""
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
        """Settle the outcome of ``request_id`` at the holder of ``group``.

        Parameters
        ----------
        group
            Name of the group that the request was sent to.
        request_id
            Id of the request in question.
        deadline_s
            Monotonic time after which the outcome stays unknown.
        """
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
        remaining_s = deadline_s - self._services.clock.monotonic_s()
        self._services.decisions.record(
            'route_settle',
            'holder of the newest known term',
            request_id=request_id,
            group=route.view.group,
            member=route.view.primary,
            term=route.view.term,
            holder=route.host.host_id,
            left_ms=int(remaining_s * MS_PER_S),
        )
        body = {
            'group': route.view.group,
            'request_id': request_id,
            'deadline_ms': max(1, int(remaining_s * MS_PER_S)),
        }
        answer = await self._services.host_client.request(
            route.host,
            'settle',
            body,
            remaining_s + _ANSWER_MARGIN_S,
        )
        match answer:
            case Completed():
                return answer
            case Refused(reason=reason) if reason in _SETTLING_REASONS:
                return answer
            case _:
                return None
