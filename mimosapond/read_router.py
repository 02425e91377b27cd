"""Sends reads to replicas that may serve them, else to the primary."""

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
_ANSWER_MARGIN_S: Final = 0.05
_PAUSE_S: Final = 0.05
# Another member would answer these in the same way.
_FINAL: Final = frozenset(
    (
        RefusalReason.SQL_ERROR,
        RefusalReason.BAD_FIELD,
        RefusalReason.BAD_TOKEN,
        RefusalReason.DEADLINE_EXCEEDED,
    )
)


@final
class ReadRouter:
    """One call per request; the caller's task runs it to its outcome."""

    def __init__(
        self,
        services: EntryServices,
        planner: ReadPlanner,
        floors: FloorFinder,
    ) -> None:
        """Take the shared parts of the entry host."""
        self._services = services
        self._planner = planner
        self._floors = floors

    async def run(self, routed: RoutedRequest) -> Outcome:
        """Try members until one may serve the read or the deadline passes."""
        floor = await self._floors.find(routed)
        if isinstance(floor, Refused):
            return floor
        while True:
            term = self._known_term(routed)
            outcome = await self._round(routed, floor)
            if not self._wants_another_round(routed, outcome, term):
                return outcome
            await self._services.clock.sleep(_PAUSE_S)

    async def _round(
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
        # A replica's data always has an age, so asking one wastes its slot.
        return [one for one in planned if one.is_primary] or planned

    async def _attempt(
        self,
        routed: RoutedRequest,
        floor: Floor | None,
        candidate: ReadCandidate,
        previous: Outcome,
    ) -> Outcome:
        left_s = routed.deadline_s - self._services.clock.monotonic_s()
        if left_s <= 0:
            return previous
        self._record(routed, candidate, previous)
        answer = await self._services.caller.run(
            candidate.host,
            'run',
            routed.run_at(candidate.member.name, left_s, floor),
            left_s + _ANSWER_MARGIN_S,
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
        left_s = routed.deadline_s - self._services.clock.monotonic_s()
        if left_s <= _PAUSE_S:
            return False
        # As for writes, a round that met a change of the term is repeated
        # for free.
        is_newer = self._known_term(routed) > tried_term
        if is_newer or self._services.budget.spend():
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
            return reason in _FINAL
        case _:
            return True


def _no_target(routed: RoutedRequest, problem: str) -> Refused:
    return refuse(
        RefusalReason.NO_TARGET,
        retry_after_ms=_RETRY_AFTER_MS,
        group=routed.group.name,
        problem=problem,
    )
