"""Acquires the next term of a group.

The primary of the new term is the newest member, or a requested member if no
other member is newer.
"""

import asyncio
from collections import defaultdict
from typing import Any, Final, final

from mimosapond.cluster_map import LeavingLookup
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.holder_installer import HolderInstaller
from mimosapond.member_survey import Answers, LateCall, standings, survey
from mimosapond.standing import Standing
from mimosapond.target_results import TargetRejected
from mimosapond.term_claim import Claim, TermClaims
from mimosapond.term_grants import (
    choose_grant,
    has_quorum,
    view_of_primary,
    verify_promoted,
)
from mimosapond.term_numbers import TermNumbers
from mimosapond.term_parts import TermParts

_PROMOTE_ATTEMPT_COUNT: Final = 2


@final
class TermAcquirer:
    """Sends adopt to all members, and promote to the member chosen to lead.

    Acquiring a term is safe at any time and with any number of concurrent
    hosts, because a member grants each term to one host only. The checks
    before the first adopt only avoid unnecessary changes of the primary.
    """

    def __init__(
        self,
        parts: TermParts,
        claims: TermClaims,
        views: GroupViews,
        installer: HolderInstaller,
        leaving: LeavingLookup,
    ) -> None:
        """Create an acquirer without attempts.

        Parameters
        ----------
        parts
            Ports and settings of the host that acquires.
        claims
            Claims each term at the platform before the members are asked.
        views
            Newest views known to the host; an acquired term is added.
        installer
            Builds the holder of an acquired term.
        leaving
            Targets that are promoted only if they are newer than all others.
        """
        self._parts = parts
        self._claims = claims
        self._views = views
        self._installer = installer
        self._leaving = leaving
        self._numbers = TermNumbers(parts.host_id)
        self._late_calls: set[LateCall] = set()
        # Members grant a term to a host and not to a single attempt, so two
        # concurrent attempts could promote two members at the same term.
        self._locks: dict[str, asyncio.Lock] = defaultdict(asyncio.Lock)

    async def acquire(
        self,
        group: GroupSpec,
        *,
        keep: str | None,
    ) -> GroupView | None:
        """Acquire the next term of ``group`` and promote its primary.

        Attempts for the same group run one after the other.

        Parameters
        ----------
        group
            The group with its members.
        keep
            Member to lead the term if no other member is newer. If it is not
            the known primary, this is a planned change: the grant of the
            known primary is then required too, so that its last log entries
            are compared. None promotes the newest member.

        Returns
        -------
        GroupView or None
            View of the acquired term; None if no term was acquired, or if a
            newer term became known meanwhile. The reason is logged.

        Raises
        ------
        InvariantError
            The promoted member leads another term or lost log entries.
        """
        known = self._views.get(group.name)
        async with self._locks[group.name]:
            if self._views.get(group.name) != known:
                self._fail(group, 0, 'a newer term became known')
                return None
            return await self._acquire(group, keep)

    async def _acquire(
        self,
        group: GroupSpec,
        keep: str | None,
    ) -> GroupView | None:
        needed = self._needed(group, keep)
        surveyed = await self._survey(group, needed)
        if not await self._may_proceed(group, surveyed, needed):
            return None
        known = self._views.get(group.name)
        term = self._numbers.take(group.name, known, surveyed)
        claim = await self._claims.claim(group.name, term)
        if claim is Claim.OTHER:
            self._fail(group, term, str(claim))
            return None
        grants = await self._adopt(group, term, needed)
        if not has_quorum(group, grants, needed):
            self._fail(
                group,
                term,
                'no majority grants the term, or a required member does not',
                granted=[grant.member for grant in grants],
            )
            return None
        chosen = choose_grant(grants, keep, self._leaving.is_leaving)
        promoted = await self._promote(group, term, chosen)
        if promoted is None:
            self._fail(
                group,
                term,
                'the member was not promoted',
                member=chosen.member,
            )
            return None
        return await self._install(group, promoted, claim, keep)

    def _needed(self, group: GroupSpec, keep: str | None) -> frozenset[str]:
        """Return the members whose grant is required besides a majority.

        A majority without the primary does not show writes that only the
        primary holds, although writes of durability ``primary`` are already
        acknowledged then.
        """
        if keep is None:
            return frozenset()
        known = self._views.get(group.name)
        if known is None:
            return frozenset((keep,))
        return frozenset((keep, known.primary))

    async def _survey(
        self,
        group: GroupSpec,
        needed: frozenset[str],
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
            lambda answered: has_quorum(group, standings(answered), needed),
        )
        return standings(answers)

    async def _may_proceed(
        self,
        group: GroupSpec,
        surveyed: tuple[Standing, ...],
        needed: frozenset[str],
    ) -> bool:
        if not has_quorum(group, surveyed, needed):
            self._fail(
                group,
                0,
                'no majority of members answers, or a required member does not',
                answered=[standing.member for standing in surveyed],
            )
            return False
        known = self._views.get(group.name)
        if known is None:
            return True
        newest = max(surveyed, key=lambda standing: standing.term)
        if newest.term <= known.term:
            return True
        if await self._learn_view(surveyed, newest.term):
            return False
        is_abandoned = self._numbers.is_abandoned(newest)
        if not is_abandoned:
            self._fail(
                group,
                newest.term,
                'another host is acquiring a term',
                other=newest.granted_to,
            )
        # The primary of the newer term may be unreachable. A planned change
        # has to keep all acknowledged writes, so it is not made on the basis
        # of the primary that this host knows.
        return is_abandoned and len(needed) <= 1

    async def _learn_view(
        self,
        surveyed: tuple[Standing, ...],
        term: int,
    ) -> bool:
        """Merge the view of a newer term if a member already leads it.

        Returns
        -------
        bool
            Whether a member leads ``term`` and its view was newer than the
            known one.
        """
        view = view_of_primary(surveyed, term)
        if view is None:
            return False
        self._parts.decisions.record(
            'term_learned',
            'a member leads a newer term',
            group=view.group,
            term=term,
            primary=view.primary,
        )
        return await self._views.merge(view)

    async def _adopt(
        self,
        group: GroupSpec,
        term: int,
        needed: frozenset[str],
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
            lambda answered: has_quorum(
                group, self._grants(answered, term), needed
            ),
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
        for _ in range(_PROMOTE_ATTEMPT_COUNT):
            answer = await self._parts.target.promote(
                member,
                term,
                self._parts.host_id,
                self._parts.check_timeout_s,
            )
            if isinstance(answer, Standing):
                return verify_promoted(answer, chosen, term)
            if isinstance(answer, TargetRejected):
                return None
            # The pooled connection may be dead while the member is alive.
            self._parts.target.disconnect(member)
        return None

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
        holder = self._installer.install(group, view, primary, promoted)
        # A primary that is leaving takes no writes; the keeper soon moves the
        # primary to another member.
        holder.gate.is_blocked = self._leaving.is_leaving(view.primary)
        self._parts.decisions.record(
            'term_acquired',
            'requested member leads' if keep == view.primary else 'promoted',
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
