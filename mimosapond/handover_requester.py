"""Requests the term of a group for the host that placement prefers."""

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
# Beacon intervals to wait after a failed request, in addition to _STABLE_COUNT.
_RETRY_DELAY_COUNT: Final = 40
# Time for the answer to arrive after the holder has drained.
_ANSWER_MARGIN_S: Final = 0.5


@final
class HandoverRequester:
    """Asks the holder of a term to hand it over to this host.

    Placement assigns each member to an owning host. The host that owns the
    primary should also hold the term of the group.
    """

    def __init__(
        self,
        parts: TermParts,
        ports: KeeperPorts,
        group: GroupSpec,
        decisions: GroupDecisions,
    ) -> None:
        """Request the term of ``group`` for the host of ``parts``."""
        self._parts = parts
        self._ports = ports
        self._group = group
        self._decisions = decisions
        self._misplaced_count = 0

    def reset(self) -> None:
        """Restart the wait for stable placement after a change of the term."""
        self._misplaced_count = 0

    def is_preferred_here(self, view: GroupView) -> bool:
        """Return whether placement assigns the primary to this host."""
        primary = self._group.member(view.primary)
        if primary is None:
            return False
        owner = self._ports.placement.owner_of(primary)
        return owner is not None and owner.host_id == self._parts.host_id

    async def request_if_preferred(
        self,
        view: GroupView,
        check_primary: Callable[[GroupView], Awaitable[ControlResult]],
    ) -> bool:
        """Request the term if placement has preferred this host long enough.

        Call it once per beacon interval.

        Parameters
        ----------
        check_primary
            Asks the primary on a new connection. A host that cannot reach the
            primary would stop all writes if it took the term over.

        Returns
        -------
        bool
            Whether the holder has released the term.
        """
        if not self.is_preferred_here(view):
            self._misplaced_count = 0
            return False
        self._misplaced_count += 1
        if self._misplaced_count < _STABLE_COUNT:
            return False
        is_reached = isinstance(await check_primary(view), Standing)
        if not is_reached or not await self._request_handover(view):
            self._misplaced_count = -_RETRY_DELAY_COUNT
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
            timeout_s + _ANSWER_MARGIN_S,
        )
        is_released = isinstance(answer, PeerAnswered) and bool(
            answer.body.get('released'),
        )
        self._decisions.record(
            view, 'handover', 'this host is preferred', is_released
        )
        return is_released
