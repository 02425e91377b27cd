"""Ends the sessions of a stopping host without losing an answer."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.entry.rotation_tracker import RotationTracker
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.sessions.serving_limits import ServingLimits

# Time allowed for callers that the load balancer sent just before it took the
# host out of rotation.
_LATE_CALLER_GRACE_S: Final = 0.3
# Part of the grace period that is reserved for the last replies to reach their
# callers.
_REPLY_DELIVERY_MARGIN_S: Final = 0.4
# Part of that margin in which the process ends.
_EXIT_MARGIN_S: Final = 0.15
_POLL_INTERVAL_S: Final = 0.05


@final
@attrs.frozen
class SessionDrain:
    """Serves on until the sessions have ended, or until the grace period does.

    Callers may come until the end: if few hosts of a data centre are ready,
    the load balancer sends new callers to those that stop as well. Near the
    end, statements are refused before anything of them runs, and a statement
    that is still under way is answered with what is certain about it.

    Parameters
    ----------
    now
        Clock of the grace period.
    """

    sessions: SessionRegistry
    relayed_work_handler: RelayedWorkHandler
    rotation: RotationTracker
    limits: ServingLimits
    now: Now

    async def run(self, grace_s: float) -> None:
        """Drain the sessions; returns before ``grace_s`` have passed."""
        end_s = self.now() + grace_s
        answers_end_s = end_s - _REPLY_DELIVERY_MARGIN_S
        self.limits.end_at(answers_end_s)
        self.rotation.update_readiness(is_ready=False)
        self.relayed_work_handler.is_stopping = True
        if not await self._wait(self._is_drained, answers_end_s):
            self._interrupt()
            await self._wait(self._has_no_sessions, end_s - _EXIT_MARGIN_S)

    async def _wait(self, is_done: Callable[[], bool], end_s: float) -> bool:
        """Return whether the condition has held for some time before the end.

        The time is that of callers which are still on their way.
        """
        last_busy_s = self.now()
        while self.now() < end_s:
            self._close_sessions()
            if not is_done():
                last_busy_s = self.now()
            if self.now() - last_busy_s > _LATE_CALLER_GRACE_S:
                return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    def _is_drained(self) -> bool:
        return (
            self.rotation.is_out_of_rotation
            and not self.relayed_work_handler.open_count
            and self._has_no_sessions()
        )

    def _has_no_sessions(self) -> bool:
        return self.sessions.connection_count == 0

    def _close_sessions(self) -> None:
        if (
            self.rotation.is_out_of_rotation
            or not self.limits.accepts_statements
        ):
            self.sessions.close_when_idle()
        self.sessions.close_revoked()
        self.sessions.close_idle()

    def _interrupt(self) -> None:
        count = self.sessions.interrupt_running()
        logger.bind(
            sessions=self.sessions.session_count, interrupted=count
        ).info('stop_grace_used_up')
