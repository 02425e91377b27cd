"""Acquires the next term of a group, to promote a member or to keep one."""

import asyncio
from collections import defaultdict
from typing import Any, Final, final

from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.holder_installer import HolderInstaller
from mimosapond.invariant_error import Invariant, InvariantError
from mimosapond.member_address import MemberAddress
from mimosapond.member_survey import Answers, LateCall, standings, survey
from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult, TargetRejected
from mimosapond.term_claim import Claim, TermClaims
from mimosapond.term_parts import TermParts

_PROMOTE_TRIES: Final = 2


@final
class TermAcquirer:
    """Sends adopt to all members and promote to the chosen one.

    Acquiring is safe at any moment and under any number of rivals, because a
    member grants a term to one asker; the checks before the first adopt only
    avoid needless changes.
    """

    def __init__(
        self,
        parts: TermParts,
        claims: TermClaims,
        views: GroupViews,
        installer: HolderInstaller,
    ) -> None:
        """Acquire for the host of ``parts``."""
        self._parts = parts
        self._claims = claims
        self._views = views
        self._installer = installer
        self._unfinished: dict[str, int] = {}
        self._taken: dict[str, int] = {}
        self._late_calls: set[LateCall] = set()
        self._locks: defaultdict[str, asyncio.Lock]
        self._locks = defaultdict(asyncio.Lock)

    async def acquire(
        self,
        group: GroupSpec,
        *,
        keep: str | None,
    ) -> GroupView | None:
        """Return the view of the acquired term, None when it failed.

        Parameters
        ----------
        group
            The group with its members.
        keep
            Primary that keeps its role; None promotes the newest member.
        """
        async with self._locks[group.name]:
            return await self._acquire(group, keep)

    async def _acquire(
        self,
        group: GroupSpec,
        keep: str | None,
    ) -> GroupView | None:
        surveyed = await self._survey(group, keep)
        if not await self._may_proceed(group, surveyed, keep):
            return None
        term = self._take_term(group, surveyed)
        claim = await self._claims.claim(group.name, term)
        if claim is Claim.OTHER:
            self._fail(group, term, str(claim))
            return None
        grants = await self._adopt(group, term, keep)
        if not _is_enough(group, grants, keep):
            self._fail(
                group,
                term,
                'no majority of grants, or not of the primary to keep',
                granted=[grant.member for grant in grants],
            )
            return None
        chosen = _choose(grants, keep)
        promoted = await self._promote(group, term, chosen)
        if promoted is None:
            self._fail(
                group,
                term,
                'promote failed',
                member=chosen.member,
            )
            return None
        return await self._install(group, promoted, claim, keep)

    async def _survey(
        self,
        group: GroupSpec,
        keep: str | None,
    ) -> tuple[Standing, ...]:
        answers = await survey(
            {
                member.name: self._parts.target.status(
                    member,
                    self._parts.check_timeout_s,
                    fresh=True,
                )
                for member in group.members
            },
            lambda known: _is_enough(group, standings(known), keep),
        )
        return standings(answers)

    async def _may_proceed(
        self,
        group: GroupSpec,
        surveyed: tuple[Standing, ...],
        keep: str | None,
    ) -> bool:
        if not _is_enough(group, surveyed, keep):
            self._fail(
                group,
                0,
                'no majority of members answers, or not the primary to keep',
                answered=[standing.member for standing in surveyed],
            )
            return False
        known = self._views.get(group.name)
        if known is None:
            return True
        newest = max(surveyed, key=lambda standing: standing.term)
        if newest.term <= known.term:
            return True
        if await self._learn(surveyed, newest.term):
            return False
        return self._is_left_over(group, newest)

    async def _learn(
        self,
        surveyed: tuple[Standing, ...],
        term: int,
    ) -> bool:
        """Take over a newer term that already has a primary."""
        for standing in surveyed:
            if standing.term == term and standing.is_primary:
                view = GroupView(
                    standing.group,
                    term,
                    standing.member,
                    standing.granted_to or '',
                )
                self._parts.decisions.record(
                    'term_learned',
                    'a member leads a newer term',
                    group=view.group,
                    term=term,
                    primary=view.primary,
                )
                return await self._views.merge(view)
        return False

    def _is_left_over(self, group: GroupSpec, newest: Standing) -> bool:
        """Tell whether a newer term without a primary was abandoned.

        Another host may be between adopt and promote, so such a term is left
        alone when it is seen first. The highest one is kept, because each
        survey may hear another majority.
        """
        is_own = newest.granted_to == self._parts.host_id
        seen_term = self._unfinished.get(group.name, 0)
        is_seen = newest.term <= seen_term
        self._unfinished[group.name] = max(newest.term, seen_term)
        if is_own or is_seen:
            return True
        self._fail(
            group,
            newest.term,
            'another host is acquiring a term',
            other=newest.granted_to,
        )
        return False

    def _take_term(
        self,
        group: GroupSpec,
        surveyed: tuple[Standing, ...],
    ) -> int:
        """Return a term above all known ones and all earlier attempts.

        Members grant a term to a host, not to an attempt: two attempts of one
        host at one term could promote two members.
        """
        known = self._views.get(group.name)
        highest = max(
            self._taken.get(group.name, 0),
            self._unfinished.get(group.name, 0),
            *(standing.term for standing in surveyed),
        )
        if known is not None:
            highest = max(highest, known.term)
        self._taken[group.name] = highest + 1
        return highest + 1

    async def _adopt(
        self,
        group: GroupSpec,
        term: int,
        keep: str | None,
    ) -> tuple[Standing, ...]:
        answers = await survey(
            {
                member.name: self._parts.target.adopt(
                    member,
                    term,
                    self._parts.host_id,
                    self._parts.check_timeout_s,
                )
                for member in group.members
            },
            lambda known: _is_enough(group, self._grants(known, term), keep),
            self._late_calls,
        )
        return self._grants(answers, term)

    def _grants(self, answers: Answers, term: int) -> tuple[Standing, ...]:
        return tuple(
            standing
            for standing in standings(answers)
            if standing.term == term
            and standing.granted_to == self._parts.host_id
        )

    async def _promote(
        self,
        group: GroupSpec,
        term: int,
        chosen: Standing,
    ) -> Standing | None:
        member = group.member(chosen.member)
        if member is None:
            return None
        for _ in range(_PROMOTE_TRIES):
            answer = await self._promote_once(member, term)
            if isinstance(answer, Standing):
                return _verify(answer, chosen, term)
            if isinstance(answer, TargetRejected):
                return None
            # The kept connection may be dead while the member is alive.
            self._parts.target.disconnect(member)
        return None

    async def _promote_once(
        self,
        member: MemberAddress,
        term: int,
    ) -> ControlResult:
        return await self._parts.target.promote(
            member,
            term,
            self._parts.host_id,
            self._parts.check_timeout_s,
        )

    async def _install(
        self,
        group: GroupSpec,
        promoted: Standing,
        claim: Claim,
        keep: str | None,
    ) -> GroupView | None:
        view = GroupView(
            group.name,
            promoted.term,
            promoted.member,
            self._parts.host_id,
        )
        primary = group.member(promoted.member)
        if primary is None or not await self._views.merge(view):
            self._fail(group, view.term, 'a newer term became known')
            return None
        self._installer.install(group, view, primary, promoted)
        self._parts.decisions.record(
            'term_acquired',
            'kept the primary' if keep == view.primary else 'promoted',
            group=group.name,
            term=view.term,
            primary=view.primary,
            position=promoted.position,
            claim=str(claim),
        )
        self._parts.metrics.count('terms.acquired')
        return view

    def _fail(
        self,
        group: GroupSpec,
        term: int,
        reason: str,
        **evidence: Any,
    ) -> None:
        self._parts.decisions.record(
            'term_not_acquired',
            reason,
            group=group.name,
            term=term,
            **evidence,
        )
        self._parts.metrics.count('terms.not_acquired')


def _is_enough(
    group: GroupSpec,
    known: tuple[Standing, ...],
    keep: str | None,
) -> bool:
    names = {standing.member for standing in known}
    if keep is not None and keep not in names:
        return False
    return len(names) >= group.majority_count


def _log_end(standing: Standing) -> tuple[int, int]:
    return (standing.last_term, standing.position)


def _choose(grants: tuple[Standing, ...], keep: str | None) -> Standing:
    """Return the newest member; among equals the one to keep.

    A primary to keep that is not the newest was replaced unnoticed, and
    keeping it would lose acknowledged writes.
    """
    return max(
        grants,
        key=lambda grant: (
            _log_end(grant),
            grant.member == keep,
            grant.member,
        ),
    )


def _verify(promoted: Standing, chosen: Standing, term: int) -> Standing:
    is_leading = promoted.is_primary and promoted.term == term
    if not is_leading or _log_end(promoted) < _log_end(chosen):
        raise InvariantError(
            Invariant.NEWEST_PROMOTED,
            promoted=promoted,
            chosen=chosen,
        )
    return promoted
