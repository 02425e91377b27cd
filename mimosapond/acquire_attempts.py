"""Repeats attempts to acquire a term, with growing jittered pauses."""

from typing import Final, final

import attrs

from mimosapond.group_spec import GroupSpec
from mimosapond.invariant_error import InvariantError
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.term_parts import TermParts

_BURST_COUNT: Final = 3
_FIRST_PAUSE_S: Final = 0.1
_LONGEST_PAUSE_S: Final = 2
_DOUBLING_COUNT: Final = 5
_LEAST_PAUSE_RATIO: Final = 0.5
# Delays between keepers of one group that see the same failure: longer than
# the calls of an undisturbed promotion, so that the first one is done.
_RANK_DELAY_S: Final = 0.15


@final
class AcquireAttempts:
    """Attempts of one keeper."""

    def __init__(
        self,
        parts: TermParts,
        ports: KeeperPorts,
        group: GroupSpec,
    ) -> None:
        """Start without failures."""
        self._parts = parts
        self._ports = ports
        self._group = group
        self._failure_count = 0
        self._next_s: float = 0

    def delay_s(self, primary: str | None) -> float:
        """Return how long to leave the action to keepers listed before."""
        ranked = [
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
        if self._parts.host_id in ranked:
            return ranked.index(self._parts.host_id) * _RANK_DELAY_S
        return len(ranked) * _RANK_DELAY_S

    def succeed(self) -> None:
        """Forget earlier failures."""
        self._failure_count = 0
        self._next_s = 0

    async def acquire(self, *, keep: str | None) -> bool:
        """Try a few times; tell whether a newer term is known now."""
        clock = self._parts.clock
        started_term = self._known_term()
        if clock.monotonic_s() < self._next_s:
            return False
        for _ in range(_BURST_COUNT):
            await self._acquire_once(keep)
            if self._known_term() > started_term:
                self.succeed()
                return True
            pause_s = self._pause_s()
            await clock.sleep(pause_s)
        self._next_s = clock.monotonic_s() + pause_s
        return False

    async def yield_to_others(self, delay_s: float) -> bool:
        """Wait ``delay_s``; tell whether a newer term became known."""
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

    def _pause_s(self) -> float:
        grown_s = _FIRST_PAUSE_S * float(
            2 ** min(self._failure_count, _DOUBLING_COUNT)
        )
        share_ratio = self._ports.jitter.uniform(_LEAST_PAUSE_RATIO, 1)
        return share_ratio * min(grown_s, _LONGEST_PAUSE_S)

    def _known_term(self) -> int:
        view = self._ports.views.get(self._group.name)
        return 0 if view is None else view.term
