"""Confirms that a held term is still the newest term of its group.

This is a read index without a lease: each confirmation uses answers of members
that were asked after the confirmation was requested. A pause of this process at
any point therefore cannot make it stale.
"""

import asyncio
from collections.abc import Callable
from typing import final

from mimosapond.bounded_wait import wait_for_future
from mimosapond.confirmed_round import ConfirmedRound
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.member_survey import Answers, survey
from mimosapond.replicated_position import ReplicatedPosition
from mimosapond.replication_watch import ReplicationWatch
from mimosapond.standing import Standing
from mimosapond.superseded_members import SupersededMembers
from mimosapond.target_results import TargetRejected, TargetSilent
from mimosapond.term_parts import RETRY_PAUSE_S, TermParts


@final
class TermConfirmer:
    """Asks the members about one held term, in rounds.

    All requests that wait when a round begins share its result.
    """

    def __init__(
        self,
        parts: TermParts,
        group: GroupSpec,
        view: GroupView,
        on_superseded: Callable[[int], None],
    ) -> None:
        """Confirm the term of ``view`` at the members of ``group``.

        Parameters
        ----------
        on_superseded
            Called once with the newer term when the primary has adopted it, or
            so many replicas have that the rest cannot form a majority with the
            primary.
        """
        self._parts = parts
        self._group = group
        self._view = view
        self._superseded = SupersededMembers(group, view, on_superseded)
        self._replicated = ReplicatedPosition(group, view)
        self._replication = ReplicationWatch(
            parts,
            group,
            view,
            self._superseded,
            self._replicated,
        )
        self._waiting: list[asyncio.Future[int | None]] = []
        self._silent: set[str] = set()
        self._task: asyncio.Task[None] | None = None
        self._is_closed = False
        self._latest: ConfirmedRound | None = None

    async def confirm(self, deadline_s: float) -> int | None:
        """Confirm the term and return the primary's log position.

        Returns
        -------
        int or None
            Position reported in a round that began after this call. None when
            no round succeeded before ``deadline_s`` (monotonic time).
        """
        if self._is_closed:
            return None
        future: asyncio.Future[int | None]
        future = asyncio.get_running_loop().create_future()
        self._waiting.append(future)
        if self._task is None:
            self._task = asyncio.create_task(self._serve())
        return await wait_for_future(
            future,
            self._parts.remaining_s(deadline_s),
        )

    def latest(self, max_age_s: float) -> ConfirmedRound | None:
        """Return the last successful round if it is at most this old."""
        latest = self._latest
        if self._is_closed or latest is None:
            return None
        age_s = self._parts.clock.monotonic_s() - latest.began_s
        return latest if age_s <= max_age_s else None

    async def wait_replicated(self, position: int, deadline_s: float) -> bool:
        """Wait until a majority holds ``position``; False on timeout."""
        if self._is_closed:
            return False
        return await self._replication.wait_replicated(position, deadline_s)

    def is_replicated(self, position: int) -> bool:
        """Return whether a majority is already known to hold ``position``."""
        return not self._is_closed and self._replicated.covers(position)

    def note(self, standing: Standing | None) -> None:
        """Process a standing that a member returned with another call."""
        self._superseded.note(standing)

    def close(self) -> None:
        """End all waiting requests as not confirmed."""
        self._is_closed = True
        self._replication.close()
        self._answer(self._waiting, None)

    async def _serve(self) -> None:
        try:
            while self._has_waiters():
                await self._run_round()
        finally:
            self._task = None

    def _has_waiters(self) -> bool:
        self._waiting = [
            future for future in self._waiting if not future.done()
        ]
        return bool(self._waiting)

    async def _run_round(self) -> None:
        asked = self._waiting
        self._waiting = []
        began_s = self._parts.clock.monotonic_s()
        position = await self._ask_members()
        if position is not None:
            self._latest = ConfirmedRound(began_s, position)
        if position is not None or self._is_closed:
            self._answer(asked, None if self._is_closed else position)
            return
        self._waiting = asked + self._waiting
        await self._parts.clock.sleep(RETRY_PAUSE_S)

    def _answer(
        self,
        futures: list[asyncio.Future[int | None]],
        position: int | None,
    ) -> None:
        for future in futures:
            if not future.done():
                future.set_result(position)

    async def _ask_members(self) -> int | None:
        answers = await survey(
            {
                member.name: self._parts.target.status(
                    member,
                    self._parts.check_timeout_s,
                    fresh=member.name in self._silent,
                )
                for member in self._group.members
            },
            self._is_confirmed,
        )
        self._process_answers(answers)
        primary = answers.get(self._view.primary)
        if isinstance(primary, Standing) and self._is_confirmed(answers):
            return primary.position
        return None

    def _process_answers(self, answers: Answers) -> None:
        for name, answer in answers.items():
            match answer:
                case TargetSilent():
                    self._silent.add(name)
                    continue
                case TargetRejected():
                    self._superseded.note(answer.standing)
                case Standing():
                    self._superseded.note(answer)
                    self._replicated.note(answer)
            self._silent.discard(name)

    def _is_confirmed(self, answers: Answers) -> bool:
        at_term = {
            name: answer
            for name, answer in answers.items()
            if isinstance(answer, Standing) and answer.term == self._view.term
        }
        primary = at_term.get(self._view.primary)
        if primary is None or not primary.is_primary:
            return False
        return len(at_term) >= self._group.majority_count
