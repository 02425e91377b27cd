"""Sends reads to replicas where possible, otherwise to the primary."""

from collections.abc import Sequence
from typing import Final, final

from mimosapond.completed import Completed
from mimosapond.degraded_path import DegradedPath
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse
from mimosapond.floor import Floor
from mimosapond.floor_finder import FloorFinder
from mimosapond.outcome import Outcome
from mimosapond.peer_results import PeerRejected, PeerUnavailable
from mimosapond.read_planner import ReadCandidate, ReadPlanner
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.routed_request import RoutedRequest
from mimosapond.unknown import Unknown

_RETRY_AFTER_MS: Final = 250
# Lets the owner's own answer at the deadline arrive first.
_ANSWER_MARGIN_S: Final = 0.05
_ROUND_PAUSE_S: Final = 0.05
# Refusals that every other member would repeat, so no other member is tried.
_FINAL_REASONS: Final = frozenset(
    (
        RefusalReason.SQL_ERROR,
        RefusalReason.BAD_FIELD,
        RefusalReason.BAD_TOKEN,
        RefusalReason.DEADLINE_EXCEEDED,
    )
)


@final
class ReadRouter:
    """Tries the members of a group until one serves the read.

    The router starts no tasks; each read runs in the task of its request.
    """

    def __init__(
        self,
        services: EntryServices,
        planner: ReadPlanner,
        floors: FloorFinder,
    ) -> None:
        """Use ``planner`` to order members and ``floors`` to find floors."""
        self._services = services
        self._planner = planner
        self._floors = floors

    async def run(self, routed: RoutedRequest) -> Outcome:
        """Try members until one serves the read or the deadline passes."""
        floor = await self._floors.find(routed)
        if isinstance(floor, Refused):
            return floor
        while True:
            term = self._known_term(routed)
            outcome = await self._run_round(routed, floor)
            if not self._wants_another_round(routed, outcome, term):
                return outcome
            await self._services.clock.sleep(_ROUND_PAUSE_S)

    async def _run_round(
        self,
        routed: RoutedRequest,
        floor: Floor | None,
    ) -> Outcome:
        outcome: Outcome = _no_target(routed, 'no member is reachable')
        for candidate in self._candidates(routed):
            outcome = await self._attempt(routed, floor, candidate, outcome)
            if _is_settled(outcome):
                break
        return outcome

    def _candidates(self, routed: RoutedRequest) -> Sequence[ReadCandidate]:
        planned = self._planner.plan(routed.group)
        if routed.request.max_age_ms:
            return planned
        # The data of a replica is never known to be current, so with a bound of
        # 0 a replica would use a slot only to refuse the read.
        return [
            candidate for candidate in planned if candidate.is_primary
        ] or planned

    async def _attempt(
        self,
        routed: RoutedRequest,
        floor: Floor | None,
        candidate: ReadCandidate,
        previous: Outcome,
    ) -> Outcome:
        remaining_s = routed.deadline_s - self._services.clock.monotonic_s()
        if remaining_s <= 0:
            return previous
        self._record(routed, candidate, previous)
        answer = await self._services.host_client.run(
            candidate.host,
            'run',
            routed.build_peer_run(candidate.member.name, remaining_s, floor),
            remaining_s + _ANSWER_MARGIN_S,
        )
        match answer:
            case PeerUnavailable(problem) | PeerRejected(message=problem):
                return _no_target(routed, problem)
            case Unknown(message=problem):
                return _no_target(routed, problem)
            case Completed():
                self._note_served(routed, candidate)
                return answer
            case Refused():
                return answer

    def _wants_another_round(
        self,
        routed: RoutedRequest,
        outcome: Outcome,
        tried_term: int,
    ) -> bool:
        if _is_settled(outcome):
            return False
        remaining_s = routed.deadline_s - self._services.clock.monotonic_s()
        if remaining_s <= _ROUND_PAUSE_S:
            return False
        # As for writes, a round during which the term changed is repeated
        # without using the retry budget.
        is_newer_term = self._known_term(routed) > tried_term
        if is_newer_term or self._services.retry_budget.try_spend():
            return True
        self._services.degraded.enter(
            DegradedPath.RETRY_BUDGET_SPENT,
            '',
            'more than one retry per ten requests',
        )
        return False

    def _known_term(self, routed: RoutedRequest) -> int:
        view = self._services.views.get(routed.group.name)
        return 0 if view is None else view.term

    def _note_served(
        self,
        routed: RoutedRequest,
        candidate: ReadCandidate,
    ) -> None:
        name = routed.group.name
        path = DegradedPath.READS_FORCED_TO_PRIMARY
        if not candidate.is_primary:
            self._services.metrics.count('read.replica')
            self._services.degraded.clear(path, name)
            return
        self._services.metrics.count('read.primary')
        if routed.request.max_age_ms:
            self._services.degraded.enter(
                path,
                name,
                'no replica could serve a read within its bounds',
            )

    def _record(
        self,
        routed: RoutedRequest,
        candidate: ReadCandidate,
        previous: Outcome,
    ) -> None:
        refusal = previous.reason if isinstance(previous, Refused) else None
        view = self._services.views.get(routed.group.name)
        self._services.decisions.record(
            'route_read',
            'primary' if candidate.is_primary else 'replica',
            request_id=routed.request.request_id,
            group=routed.group.name,
            member=candidate.member.name,
            term=None if view is None else view.term,
            owner=candidate.host.host_id,
            max_age_ms=routed.request.max_age_ms,
            after=refusal,
        )


def _is_settled(outcome: Outcome) -> bool:
    match outcome:
        case Refused(reason=reason):
            return reason in _FINAL_REASONS
        case _:
            return True


def _no_target(routed: RoutedRequest, problem: str) -> Refused:
    return refuse(
        RefusalReason.NO_TARGET,
        retry_after_ms=_RETRY_AFTER_MS,
        group=routed.group.name,
        problem=problem,
    )
