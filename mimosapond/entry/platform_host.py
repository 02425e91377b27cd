"""The process of one host on the platform: start, serve, stop."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration_follower import (
    ConfigurationFollower,
)
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.entry.reachability import Reachability
from mimosapond.entry.rotation import RotationTracker
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.failover.reserved_token_claims import ReservedTokenClaims
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.log_rate_limit import LogRateLimit
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.peer_discovery import PeerDiscovery
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.relay_port import RelayFinder

# Callers that connect while the host starts wait this long for what it has to
# know; in an outage of the store they are told to go elsewhere.
_CONFIGURATION_WAIT_S: Final = 0.5
# Callers that the balancer sent just before it took the host out.
_LATE_CALLER_GRACE_S: Final = 0.3
# Left for the last answers to reach their callers.
_REPLY_DELIVERY_MARGIN_S: Final = 0.4
_POLL_INTERVAL_S: Final = 0.05


@final
@attrs.frozen
class HostParts:
    """What the host runs."""

    active: ActiveConfiguration
    directory: GroupDirectory
    configuration_follower: ConfigurationFollower
    registration_follower: RegistrationPoller
    peer_follower: PeerDiscovery
    sessions: SessionRegistry
    peer_desk: RelayedWorkHandler
    probe: PrimaryProbe
    relays: RelayFinder
    duties: ReservedTokenClaims
    change: FailoverCoordinator
    reachability: Reachability
    rotation: RotationTracker
    accept_callers: Callable[[], None]
    log_rate_limit: LogRateLimit
    now: Now


@final
class PlatformHost:
    """Runs the tasks of a host and ends them in order."""

    def __init__(self, parts: HostParts, stop_grace_s: float) -> None:
        """Take the parts and the time allowed for a stop."""
        self._parts = parts
        self._stop_grace_s = stop_grace_s
        self._stop = asyncio.Event()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def report_readiness(self) -> bool:
        """Return whether new callers may be sent here."""
        is_ready = self._is_ready()
        self._parts.rotation.record_answer(is_ready=is_ready)
        return is_ready

    def request_stop(self) -> None:
        """Begin a graceful stop."""
        logger.info('stop_requested')
        self._stop.set()

    def note_reload(self) -> None:
        """Note a reload; addresses, the only settings, do not change."""
        logger.info('reload_not_needed')

    async def run(self) -> None:
        """Serve until a stop was requested and has ended."""
        self._start('configuration', self._parts.configuration_follower.run())
        self._start('registrations', self._parts.registration_follower.run())
        self._start('duties', self._parts.duties.run())
        self._start('peers', self._parts.peer_follower.run())
        await self._parts.active.wait_until_loaded(_CONFIGURATION_WAIT_S)
        self._parts.accept_callers()
        stopping = asyncio.create_task(self._stop.wait())
        while not self._stop.is_set():
            self._watch_groups()
            self._redirect_callers()
            self._parts.log_rate_limit.report()
            await asyncio.wait((stopping,), timeout=_POLL_INTERVAL_S)
        await self._drain_sessions()
        logger.bind(sessions=self._parts.sessions.session_count).info('stopped')

    def _is_ready(self) -> bool:
        return (
            not self._stop.is_set()
            and self._parts.active.is_loaded
            and self._parts.reachability.is_sufficient()
        )

    def _start(self, name: str, work: Coroutine[Any, Any, None]) -> None:
        self._tasks[name] = asyncio.create_task(work, name=name)

    def _redirect_callers(self) -> None:
        """Close idle sessions here once new ones go to other hosts."""
        parts = self._parts
        parts.rotation.update_readiness(is_ready=self._is_ready())
        unreachable = parts.reachability.unreachable_groups()
        parts.sessions.redirect_groups(
            unreachable if parts.rotation.is_out else frozenset()
        )
        parts.sessions.close_idle()

    def _watch_groups(self) -> None:
        for group in self._parts.directory.groups.values():
            if group.name not in self._tasks:
                watch = PrimaryMonitor(
                    group,
                    self._parts.probe,
                    self._parts.change,
                    self._parts.relays,
                    self._parts.now,
                )
                self._start(group.name, watch.run())

    async def _drain_sessions(self) -> None:
        sessions = self._parts.sessions
        rotation = self._parts.rotation
        now = self._parts.now
        end_s = now() + self._stop_grace_s - _REPLY_DELIVERY_MARGIN_S
        last_caller_s = now() + _LATE_CALLER_GRACE_S
        rotation.update_readiness(is_ready=False)
        self._parts.peer_desk.is_stopping = True
        while now() < end_s:
            is_busy = sessions.session_count or self._parts.peer_desk.open_count
            if is_busy or not rotation.is_out:
                last_caller_s = now() + _LATE_CALLER_GRACE_S
            if rotation.is_out:
                sessions.close_when_idle()
                sessions.close_idle()
            if now() > last_caller_s:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
