"""Retries to acquire a term, with exponential back-off and jitter."""

from typing import Final, final

import attrs

from mimosapond.group_spec import GroupSpec
from mimosapond.invariant_error import InvariantError
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.term_parts import TermParts

_ATTEMPT_COUNT: Final = 3
_FIRST_BACKOFF_S: Final = 0.1
_MAX_BACKOFF_S: Final = 2
_MAX_DOUBLING_COUNT: Final = 5
_MIN_JITTER_RATIO: Final = 0.5
# Keepers of one group that see the same failure act one after the other, with
# this delay between them. It is longer than the calls of a promotion without
# faults, so that the first keeper is done before the next one would act.
_RANK_DELAY_S: Final = 0.15


@final
class AcquireAttempts:
    """Attempts of one keeper to acquire the next term of its group."""

    def __init__(
        self,
        parts: TermParts,
        ports: KeeperPorts,
        group: GroupSpec,
    ) -> None:
        """Start without failed attempts."""
        self._parts = parts
        self._ports = ports
        self._group = group
        self._failure_count = 0
        self._not_before_s: float = 0

    def delay_s(self, primary: str | None) -> float:
        """Return how long to wait for keepers that are ranked before this host.

        Parameters
        ----------
        primary
            Member whose owner is not ranked for it; None ranks the owners of
            all members.

        Returns
        -------
        float
            Delay in seconds; 0 for the keeper that is ranked first.
        """
        ranked_ids = [
            host.host_id
            for host in self._ports.opinions.keepers(
                attrs.evolve(
                    self._group,
                    members=tuple(
                        member
                        for member in self._group.members
                        if member.name != primary
                    ),
                ),
            )
        ]
        if self._parts.host_id in ranked_ids:
            return ranked_ids.index(self._parts.host_id) * _RANK_DELAY_S
        return len(ranked_ids) * _RANK_DELAY_S

    def reset(self) -> None:
        """Reset the back-off after a success."""
        self._failure_count = 0
        self._not_before_s = 0

    async def acquire(self, *, keep: str | None) -> bool:
        """Attempt a few times to acquire the next term.

        Does nothing during the back-off after a failed call.

        Parameters
        ----------
        keep
            Member to lead if no other is newer; see ``TermAcquirer.acquire``.

        Returns
        -------
        bool
            Whether a newer term is known now, acquired by any host.
        """
        clock = self._parts.clock
        started_term = self._known_term()
        if clock.monotonic_s() < self._not_before_s:
            return False
        for _ in range(_ATTEMPT_COUNT):
            await self._acquire_once(keep)
            if self._known_term() > started_term:
                self.reset()
                return True
            backoff_s = self._backoff_s()
            await clock.sleep(backoff_s)
        self._not_before_s = clock.monotonic_s() + backoff_s
        return False

    async def yield_to_others(self, delay_s: float) -> bool:
        """Wait for another keeper to acquire a term.

        Parameters
        ----------
        delay_s
            Longest time to wait; with 0 the call returns at once.

        Returns
        -------
        bool
            Whether a newer term became known.
        """
        if not delay_s:
            return False
        newer = await self._ports.views.wait_newer(
            self._group.name,
            self._known_term(),
            delay_s,
        )
        return newer is not None

    async def _acquire_once(self, keep: str | None) -> None:
        try:
            await self._ports.acquirer.acquire(self._group, keep=keep)
        except InvariantError as error:
            self._parts.decisions.record(
                'term_not_acquired',
                str(error),
                group=self._group.name,
                term=self._known_term(),
            )
        self._failure_count += 1

    def _backoff_s(self) -> float:
        grown_backoff_s = _FIRST_BACKOFF_S * float(
            2 ** min(self._failure_count, _MAX_DOUBLING_COUNT)
        )
        jitter_ratio = self._ports.jitter.uniform(_MIN_JITTER_RATIO, 1)
        return jitter_ratio * min(grown_backoff_s, _MAX_BACKOFF_S)

    def _known_term(self) -> int:
        view = self._ports.views.get(self._group.name)
        return 0 if view is None else view.term
