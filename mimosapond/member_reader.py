"""Serves reads at a member that this host owns.

An answer is returned only if the member's standing, which arrives with it,
proves that the data includes the session's writes, is within the age bound, and
will not be dropped by a newer primary.
"""

from collections.abc import Callable
from typing import Final, final

from mimosapond.age_trackers import AgeTrackers
from mimosapond.beacon_refresher import BeaconRefresher
from mimosapond.beacon_source import BeaconSource
from mimosapond.clock import MS_PER_S, Clock
from mimosapond.cluster_map import LeavingLookup
from mimosapond.decision_log import DecisionLog
from mimosapond.errors import refuse
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.read_check import (
    check_read,
    refuse_read,
    refuse_rejected,
)
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.slot_source import HeldSlot, SlotFinder
from mimosapond.standing import Standing
from mimosapond.target_results import (
    TargetAnswered,
    TargetRejected,
    TargetResult,
    TargetSilent,
)
from mimosapond.work_ticket import WorkTicket, build_fingerprint

# Used only when the entry host did not fill the deadline from the document.
_DEFAULT_DEADLINE_MS: Final = 1000
# The smallest bound, so that the term holder is asked again instead of using a
# beacon that is already known.
_CONFIRM_MAX_AGE_MS: Final = 1
_CONFIRM_ATTEMPT_COUNT: Final = 2


@final
class MemberReader:
    """Serves the peer operation ``run`` for reads."""

    def __init__(
        self,
        owners: SlotFinder,
        holder_of: Callable[[str], BeaconSource | None],
        ages: AgeTrackers,
        refresher: BeaconRefresher,
        clock: Clock,
        decisions: DecisionLog,
        leaving: LeavingLookup,
    ) -> None:
        """Start a reader for the members that this host owns.

        Parameters
        ----------
        owners
            Finds the queue of a member at this host.
        holder_of
            Returns this host's term holder of a group, None when another host
            holds the term.
        ages
            Known positions of the primaries, from which data ages follow.
        refresher
            Asks the holders of other hosts for newer positions.
        clock
            Source of monotonic time.
        decisions
            Log of refused reads.
        leaving
            Targets that accept no new work.
        """
        self._owners = owners
        self._holder_of = holder_of
        self._ages = ages
        self._refresher = refresher
        self._clock = clock
        self._decisions = decisions
        self._leaving = leaving

    async def read(self, run: PeerRun) -> Outcome:
        """Read at ``run.member`` and refuse an answer that is not proven fresh.

        A read without an answer is refused rather than unknown, since a read
        has no effect whose outcome would have to be settled.
        """
        owner = self._owners.owner(run.member)
        if owner is None:
            return refuse(RefusalReason.NOT_OWNER, member=run.member)
        deadline_s = self._deadline_s(run)
        refused = await self._admit(run, deadline_s)
        if refused is not None:
            return refused
        await self._refresh(run, deadline_s)
        grant = await owner.acquire(_build_ticket(run, deadline_s))
        if isinstance(grant, Refused):
            return grant
        # The target may have begun to leave while the read was queued.
        refused = await self._admit(run, deadline_s)
        if refused is not None:
            grant.release(reusable=True)
            return refused
        target_result = await self._run(grant, run, deadline_s)
        match target_result:
            case TargetAnswered():
                return await self._check(run, target_result, deadline_s)
            case TargetRejected(reason=reason, message=message):
                return refuse_rejected(run, reason, message)
            case TargetSilent(problem=problem):
                return refuse_read(run, problem)

    async def _admit(self, run: PeerRun, deadline_s: float) -> Refused | None:
        """Refuse reads at a leaving target, unless it is still the primary.

        The term holder decides how long a leaving primary accepts work.
        """
        if not self._leaving.is_leaving(run.member):
            return None
        holder = self._holder_of(run.group)
        if holder is None or holder.view.primary != run.member:
            return refuse(
                RefusalReason.TARGET_LEAVING,
                member=run.member,
                retry_after_ms=1,
            )
        return await holder.admit(deadline_s)

    async def _run(
        self,
        grant: HeldSlot,
        run: PeerRun,
        deadline_s: float,
    ) -> TargetResult:
        target_result: TargetResult | None = None
        timeout_s = max(0, deadline_s - self._clock.monotonic_s())
        try:
            target_result = await grant.connection.read(
                run.request.statements, timeout_s
            )
        finally:
            # After a cancelled call, its answer may still arrive on the
            # connection, which therefore can't be reused.
            is_answered = isinstance(
                target_result, (TargetAnswered, TargetRejected)
            )
            grant.release(reusable=is_answered)
        return target_result

    async def _check(
        self,
        run: PeerRun,
        answered: TargetAnswered,
        deadline_s: float,
    ) -> Outcome:
        standing = answered.standing
        age_ms: int | None = 0
        is_confirmed = await self._is_confirmed(run, standing, deadline_s)
        if not is_confirmed:
            age_ms = self._ages.tracker(run.group).age_ms(standing)
        if not is_confirmed and self._may_show_unreplicated_entries(
            run, standing
        ):
            outcome: Outcome = refuse_read(
                run,
                'a newer primary may drop its last entries',
            )
        elif age_ms is None:
            outcome = refuse_read(
                run,
                'the age of its data is unknown',
            )
        else:
            outcome = check_read(
                run,
                answered,
                age_ms=age_ms,
                is_confirmed=is_confirmed,
            )
        if isinstance(outcome, Refused):
            self._record(run, standing, outcome, age_ms)
        return outcome

    def _record(
        self,
        run: PeerRun,
        standing: Standing,
        refused: Refused,
        age_ms: int | None,
    ) -> None:
        self._decisions.record(
            'read_refused',
            refused.reason,
            request_id=run.request.request_id,
            group=run.group,
            member=run.member,
            term=standing.term,
            position=standing.position,
            floor_term=run.floor and run.floor.term,
            floor_position=run.floor and run.floor.position,
            age_ms=age_ms,
            max_age_ms=run.request.max_age_ms,
        )

    async def _is_confirmed(
        self,
        run: PeerRun,
        standing: Standing,
        deadline_s: float,
    ) -> bool:
        """Tell whether the member was still the primary after the read.

        At most half of the remaining time is spent on asking this host's own
        term holder. A primary that is cut off can then still serve reads that
        accept the known age of its data.
        """
        if not standing.is_primary:
            return False
        asked_s = self._clock.monotonic_s()
        holder = self._holder_of(run.group)
        if holder is not None:
            beacon = await holder.beacon((asked_s + deadline_s) / 2)
            if beacon is not None:
                self._ages.tracker(run.group).note(asked_s, beacon)
                return beacon.view.term == standing.term
        return await self._is_confirmed_elsewhere(run, standing, deadline_s)

    async def _is_confirmed_elsewhere(
        self,
        run: PeerRun,
        standing: Standing,
        deadline_s: float,
    ) -> bool:
        """Ask the current term holder, which may be another host by now.

        Reads share pulls of beacons. The first pull may have begun before this
        read ended and then proves nothing; the second cannot.
        """
        asked_s = self._clock.monotonic_s()
        timeout_s = max(0, deadline_s - asked_s) / 2
        tracker = self._ages.tracker(run.group)
        for _ in range(_CONFIRM_ATTEMPT_COUNT):
            await self._refresher.refresh(
                run.group, _CONFIRM_MAX_AGE_MS, timeout_s
            )
            if tracker.is_confirmed_since(asked_s, standing.term):
                return True
        return False

    def _may_show_unreplicated_entries(
        self, run: PeerRun, standing: Standing
    ) -> bool:
        """Tell whether the data may include entries that will be lost.

        A newer primary drops entries that no majority holds. Their callers got
        unknown as the outcome, so no read may show them.
        """
        if not standing.is_primary:
            return standing.position > standing.matched_position
        holder = self._holder_of(run.group)
        return (
            holder is None
            or holder.view.term != standing.term
            or not holder.is_replicated(standing.position)
        )

    async def _refresh(self, run: PeerRun, deadline_s: float) -> None:
        # If this host holds the term, the primary's answer is confirmed after
        # the read, which needs no beacon.
        if self._holder_of(run.group) is not None:
            return
        remaining_s = max(0, deadline_s - self._clock.monotonic_s())
        await self._refresher.refresh(
            run.group,
            run.request.max_age_ms or 0,
            remaining_s / 2,
        )

    def _deadline_s(self, run: PeerRun) -> float:
        deadline_ms = run.request.deadline_ms
        if deadline_ms is None:
            deadline_ms = _DEFAULT_DEADLINE_MS
        return self._clock.monotonic_s() + deadline_ms / MS_PER_S


def _build_ticket(run: PeerRun, deadline_s: float) -> WorkTicket:
    request = run.request
    return WorkTicket(
        request_id=request.request_id,
        work_class=request.work_class,
        workspace=request.workspace,
        deadline_s=deadline_s,
        fingerprint=build_fingerprint(request.statements),
        connection_limit_count=run.connection_limit_count,
        is_long=request.is_long,
        group=run.group,
    )
