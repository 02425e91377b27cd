"""Pulls beacons from the holder of a group.

A beacon shows that the holder is alive and still holds its term, and gives a
log position from which the age of the group's data is derived.
"""

import enum
from collections.abc import Mapping
from typing import Any, Final, final

from cattrs import BaseValidationError

from mimosapond.clock import MS_PER_S
from mimosapond.codec import decode
from mimosapond.group_beacon import GroupBeacon
from mimosapond.group_view import GroupView
from mimosapond.keeper_ports import KeeperPorts
from mimosapond.peer_results import PeerAnswered, PeerRejected, PeerResult
from mimosapond.term_holder import TermHolder
from mimosapond.term_parts import TermParts

_NOT_HOLDER: Final = 'not_holder'
# Ratio of the call's timeout that the holder may use to confirm its term. A
# holder that cannot confirm it then still answers before the timeout.
_CONFIRM_TIMEOUT_RATIO: Final = 0.6


@final
class Beat(enum.StrEnum):
    """Result of one request for a beacon."""

    CONFIRMED = 'confirmed'
    UNCONFIRMED = 'holder answers without confirmation'
    LOST = 'holder silent or not holding'


@final
class BeaconWatch:
    """Requests beacons from the holder, at this host or at a peer."""

    def __init__(self, parts: TermParts, ports: KeeperPorts) -> None:
        """Create a watch for the host of ``parts``."""
        self._parts = parts
        self._ports = ports

    def own_holder(self, view: GroupView) -> TermHolder | None:
        """Return this host's holder of the term of ``view``; None without one."""
        holder = self._ports.registry.holder(view.group)
        if holder is None or holder.view.term != view.term:
            return None
        return holder

    async def check(
        self,
        view: GroupView,
        *,
        fresh: bool,
        max_age_ms: int = 0,
    ) -> Beat:
        """Request one beacon, and record its position and a newer view.

        Parameters
        ----------
        view
            View that names the holder to ask.
        fresh
            Whether to ask on a new connection.
        max_age_ms
            Greatest age of a confirmation round that the holder may reuse.
            Periodic beacons allow one interval and some slack, so that the
            owners of replicas do not multiply the rounds of the holder.
        """
        asked_s = self._parts.clock.monotonic_s()
        holder = self.own_holder(view)
        if holder is None:
            answer = await self._pull(view, fresh=fresh, max_age_ms=max_age_ms)
            if answer is None:
                return Beat.LOST
            return await self._evaluate(view, answer, asked_s)
        beacon = await holder.beacon(asked_s + self._parts.check_timeout_s)
        if beacon is None:
            return Beat.UNCONFIRMED
        self._ports.ages.note(asked_s, beacon)
        return Beat.CONFIRMED

    async def _pull(
        self,
        view: GroupView,
        *,
        fresh: bool,
        max_age_ms: int,
    ) -> PeerResult | None:
        host = self._ports.hosts.host(view.holder)
        if host is None or view.holder == self._parts.host_id:
            return None
        timeout_s = self._parts.check_timeout_s
        timeout_ms = int(timeout_s * _CONFIRM_TIMEOUT_RATIO * MS_PER_S)
        return await self._ports.peers.call(
            host.address,
            'beacon',
            {
                'group': view.group,
                'timeout_ms': timeout_ms,
                'max_age_ms': max_age_ms,
            },
            timeout_s,
            fresh=fresh,
        )

    async def _evaluate(
        self,
        view: GroupView,
        answer: PeerResult,
        asked_s: float,
    ) -> Beat:
        match answer:
            case PeerAnswered():
                return await self._apply_beacon(view, answer.body, asked_s)
            case PeerRejected() if answer.reason == _NOT_HOLDER:
                return await self._apply_redirect(view, answer.body)
            case PeerRejected():
                return Beat.UNCONFIRMED
            case _:
                return Beat.LOST

    async def _apply_beacon(
        self,
        view: GroupView,
        body: Mapping[str, Any],
        asked_s: float,
    ) -> Beat:
        try:
            beacon = decode(GroupBeacon, body)
        except BaseValidationError:
            return Beat.UNCONFIRMED
        if beacon.view.group != view.group or beacon.view.term < view.term:
            return Beat.UNCONFIRMED
        await self._ports.views.merge(beacon.view)
        self._ports.ages.note(asked_s, beacon)
        return Beat.CONFIRMED

    async def _apply_redirect(
        self,
        view: GroupView,
        body: Mapping[str, Any],
    ) -> Beat:
        try:
            newest = decode(GroupView, body.get('view'))
        except BaseValidationError:
            return Beat.LOST
        if newest.group == view.group and newest.term > view.term:
            await self._ports.views.merge(newest)
        return Beat.LOST
