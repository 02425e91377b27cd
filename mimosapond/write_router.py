"""Sends writes to the holder of the group's newest term.

Only this module retries writes. A write can be resent safely at any time, since
its request id is recorded in the same target transaction as its effect.
"""

import collections
from typing import Final, final

from mimosapond.attempt_log import AttemptLog
from mimosapond.clock import MS_PER_S
from mimosapond.degraded_path import DegradedPath
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse
from mimosapond.holder_route import HolderRoute, find_holder
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerRejected, PeerUnavailable
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.routed_request import RoutedRequest
from mimosapond.unknown import Unknown

RETRY_AFTER_MS: Final = 250
# Lets the holder's own answer at the deadline arrive first.
_ANSWER_MARGIN_S: Final = 0.05
_RETRYABLE_REASONS: Final = frozenset(
    (
        RefusalReason.NOT_OWNER,
        RefusalReason.NO_PRIMARY,
        RefusalReason.NO_TARGET,
        RefusalReason.HOST_LEAVING,
        RefusalReason.TARGET_UNREACHABLE,
    )
)
_RUN: Final = 'run'
_FREE_ATTEMPTS_PER_TERM_COUNT: Final = 2


@final
class WriteRouter:
    """Sends writes to the term holder and retries them.

    The router starts no tasks; each write runs in the task of its request.
    """

    def __init__(self, services: EntryServices) -> None:
        """Use the components that the routers of this host share."""
        self._services = services

    async def run(
        self, routed: RoutedRequest, operation: str = _RUN
    ) -> Outcome:
        """Send the request until it has an outcome or its deadline passes.

        Parameters
        ----------
        routed
            The resolved request.
        operation
            ``run``, or ``begin`` for an interactive transaction.
        """
        attempts = AttemptLog(routed.request.request_id)
        if routed.request.may_have_run:
            attempts.note_unsettled('an earlier attempt ended as unknown')
        outcome: Outcome = _no_primary(routed, 'no holder is known')
        attempt_counts: collections.Counter[int] = collections.Counter()
        while True:
            route = await self._next_route(routed)
            if route is None:
                return attempts.settle(outcome)
            if not self._may_attempt(attempt_counts[route.view.term], attempts):
                return attempts.settle(self._refuse_over_budget(outcome))
            outcome = await self._attempt(routed, route, operation, attempts)
            if not self._wants_retry(routed, outcome):
                return attempts.settle(outcome)
            attempt_counts[route.view.term] += 1

    async def _next_route(self, routed: RoutedRequest) -> HolderRoute | None:
        name = routed.group.name
        route = await find_holder(self._services, name, routed.deadline_s)
        if route is None:
            self._services.degraded.enter(
                DegradedPath.WRITES_REFUSED,
                name,
                'no holder answered before the deadline',
            )
        return route

    def _may_attempt(
        self,
        attempts_at_term_count: int,
        attempts: AttemptLog,
    ) -> bool:
        """Tell whether the attempt is free or the retry budget covers it.

        A request that has not run gets two free attempts at each term. During
        a handover all requests in flight are refused at the same time, and the
        new holder may not serve yet when other hosts learn of its term. Terms
        change too rarely for the free attempts to multiply load.
        """
        is_free = attempts_at_term_count < _FREE_ATTEMPTS_PER_TERM_COUNT
        if is_free and not attempts.may_have_run:
            return True
        return self._services.retry_budget.try_spend()

    async def _attempt(
        self,
        routed: RoutedRequest,
        route: HolderRoute,
        operation: str,
        attempts: AttemptLog,
    ) -> Outcome:
        remaining_s = routed.deadline_s - self._services.clock.monotonic_s()
        self._record(routed, route, remaining_s)
        answer = await self._services.host_client.run(
            route.host,
            operation,
            routed.build_peer_run(route.view.primary, remaining_s),
            remaining_s + _ANSWER_MARGIN_S,
        )
        match answer:
            case PeerUnavailable(problem, sent):
                if sent:
                    attempts.note_unsettled(problem)
                return self._hold_back(routed, route, problem)
            case PeerRejected(message=problem):
                return self._hold_back(routed, route, problem)
            case Unknown(message=problem):
                attempts.note_unsettled(problem)
                return self._note_answer(routed, route, answer)
            case _:
                return self._note_answer(routed, route, answer)

    def _note_answer(
        self,
        routed: RoutedRequest,
        route: HolderRoute,
        outcome: Outcome,
    ) -> Outcome:
        if (
            isinstance(outcome, Refused)
            and outcome.reason in _RETRYABLE_REASONS
        ):
            if outcome.reason is RefusalReason.HOST_LEAVING:
                # The holder still accepts writes, so other attempts go on.
                return outcome
            return self._hold_back(routed, route, outcome.message)
        name = routed.group.name
        self._services.gate.open(name)
        self._services.degraded.clear(DegradedPath.WRITES_REFUSED, name)
        return outcome

    def _hold_back(
        self,
        routed: RoutedRequest,
        route: HolderRoute,
        problem: str,
    ) -> Refused:
        self._services.gate.hold(routed.group.name, route.view.term)
        return _no_primary(routed, problem)

    def _wants_retry(self, routed: RoutedRequest, outcome: Outcome) -> bool:
        if self._services.clock.monotonic_s() >= routed.deadline_s:
            return False
        match outcome:
            case Unknown():
                return True
            case Refused(reason=reason):
                return reason in _RETRYABLE_REASONS
            case _:
                return False

    def _refuse_over_budget(self, outcome: Outcome) -> Outcome:
        self._services.degraded.enter(
            DegradedPath.RETRY_BUDGET_SPENT,
            '',
            'more than one retry per ten requests',
        )
        if isinstance(outcome, Refused):
            return refuse(
                RefusalReason.RETRY_BUDGET_SPENT,
                retry_after_ms=RETRY_AFTER_MS,
                problem=outcome.message,
            )
        return outcome

    def _record(
        self,
        routed: RoutedRequest,
        route: HolderRoute,
        remaining_s: float,
    ) -> None:
        self._services.metrics.count('route.write')
        self._services.decisions.record(
            'route_write',
            'holder of the newest known term',
            request_id=routed.request.request_id,
            group=routed.group.name,
            member=route.view.primary,
            term=route.view.term,
            holder=route.host.host_id,
            left_ms=int(remaining_s * MS_PER_S),
        )


def _no_primary(routed: RoutedRequest, problem: str) -> Refused:
    return refuse(
        RefusalReason.NO_PRIMARY,
        retry_after_ms=RETRY_AFTER_MS,
        group=routed.group.name,
        problem=problem,
    )
