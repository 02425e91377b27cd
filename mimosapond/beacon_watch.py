"""Pulls beacons from a group's holder: evidence of life, and dates for data."""

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
# Share of the call's time that the holder may use to confirm its term, so
# that a holder that can't confirm still answers in time.
_CONFIRM_RATIO: Final = 0.6


@final
class Beat(enum.StrEnum):
    """What one request for a beacon showed."""

    CONFIRMED = 'confirmed'
    UNCONFIRMED = 'holder answers without confirmation'
    LOST = 'holder silent or not holding'


@final
class BeaconWatch:
    """Asks the holder of a view, here or at a peer."""

    def __init__(self, parts: TermParts, ports: KeeperPorts) -> None:
        """Watch for the host of ``parts``."""
        self._parts = parts
        self._ports = ports

    def own_holder(self, view: GroupView) -> TermHolder | None:
        """Return the holder when this host holds the term of ``view``."""
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
        """Ask for one beacon.

        Parameters
        ----------
        view
            Names the holder to ask.
        fresh
            Whether to ask on a new connection.
        max_age_ms
            Age of a round that the holder may use again. Periodic beacons
            allow one interval, so that the replicas of a group don't multiply
            the rounds of its holder.
        """
        asked_s = self._parts.clock.monotonic_s()
        holder = self.own_holder(view)
        if holder is None:
            answer = await self._pull(view, fresh=fresh, max_age_ms=max_age_ms)
            if answer is None:
                return Beat.LOST
            return await self._learn(view, answer, asked_s)
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
        timeout_ms = int(timeout_s * _CONFIRM_RATIO * MS_PER_S)
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

    async def _learn(
        self,
        view: GroupView,
        answer: PeerResult,
        asked_s: float,
    ) -> Beat:
        match answer:
            case PeerAnswered():
                return await self._note(view, answer.body, asked_s)
            case PeerRejected() if answer.reason == _NOT_HOLDER:
                return await self._redirect(view, answer.body)
            case PeerRejected():
                return Beat.UNCONFIRMED
            case _:
                return Beat.LOST

    async def _note(
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

    async def _redirect(
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
