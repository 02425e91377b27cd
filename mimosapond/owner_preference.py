"""Moves a group to the host that owns its primary by placement."""

from collections.abc import Awaitable, Callable
from typing import Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.group_decisions import GroupDecisions
from mimosapond.group_spec import GroupSpec
from mimosapond.group_view import GroupView
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.peer_results import PeerAnswered
from mimosapond.standing import Standing
from mimosapond.target_results import ControlResult
from mimosapond.term_parts import TermParts

# Beacon intervals for which placement must be stable before a handover.
_STABLE_COUNT: Final = 4
# Beacon intervals until the next request after a refused handover.
_HANDOVER_PAUSE_COUNT: Final = 40
_HANDOVER_MARGIN_S: Final = 0.5


@final
class OwnerPreference:
    """Asks the holder for the group when it should be at this host."""

    def __init__(
        self,
        parts: TermParts,
        ports: KeeperPorts,
        group: GroupSpec,
        decisions: GroupDecisions,
    ) -> None:
        """Decide for the host of ``parts``."""
        self._parts = parts
        self._ports = ports
        self._group = group
        self._decisions = decisions
        self._misplaced_count = 0

    def restart(self) -> None:
        """Count anew, as a newer term holds."""
        self._misplaced_count = 0

    def is_own(self, view: GroupView) -> bool:
        """Tell whether placement gives the primary to this host."""
        primary = self._group.member(view.primary)
        if primary is None:
            return False
        owner = self._ports.placement.owner_of(primary)
        return owner is not None and owner.host_id == self._parts.host_id

    async def takes_over(
        self,
        view: GroupView,
        check_primary: Callable[[GroupView], Awaitable[ControlResult]],
    ) -> bool:
        """Tell whether the holder has released the group to this host.

        Parameters
        ----------
        check_primary
            Asks the primary on a fresh connection: a host that can't reach
            it would stop all writes by taking the group over.
        """
        if not self.is_own(view):
            self._misplaced_count = 0
            return False
        self._misplaced_count += 1
        if self._misplaced_count < _STABLE_COUNT:
            return False
        is_reached = isinstance(await check_primary(view), Standing)
        if not is_reached or not await self._request_handover(view):
            self._misplaced_count = -_HANDOVER_PAUSE_COUNT
            return False
        self._misplaced_count = 0
        return True

    async def _request_handover(self, view: GroupView) -> bool:
        host = self._ports.hosts.host(view.holder)
        if host is None:
            return False
        timeout_s = self._parts.options.drain_timeout_s
        answer = await self._ports.peers.call(
            host.address,
            'handover',
            {
                'group': view.group,
                'term': view.term,
                'timeout_ms': int(timeout_s * MS_PER_S),
            },
            timeout_s + _HANDOVER_MARGIN_S,
        )
        is_released = isinstance(answer, PeerAnswered) and bool(
            answer.body.get('released'),
        )
        self._decisions.record(
            view, 'handover', 'this host is preferred', is_released
        )
        return is_released
