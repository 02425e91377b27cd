"""The process of one host on the platform: start, operation and stop."""

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
from mimosapond.entry.reachability import Reachability
from mimosapond.entry.rotation_tracker import RotationTracker
from mimosapond.entry.session_drain import SessionDrain
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.failover.failover_coordinator import FailoverCoordinator
from mimosapond.failover.primary_monitor import PrimaryMonitor
from mimosapond.failover.reserved_token_claims import ReservedTokenClaims
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.holding import Holding
from mimosapond.groups.registration_poller import RegistrationPoller
from mimosapond.log_rate_limit import LogRateLimit
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.peer_discovery import PeerDiscovery
from mimosapond.routing.primary_probe import PrimaryProbe
from mimosapond.routing.relay_port import RelayFinder
from mimosapond.sessions.serving_limits import ServingLimits
from mimosapond.task_supervisor import TaskSupervisor

# Longest time that callers who connect while the host starts wait for the first
# configuration. During an outage of the store, the host refuses them after this
# time, so that they use another host.
_CONFIGURATION_WAIT_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.05


@final
@attrs.frozen
class HostParts:
    """The parts of a host that it runs and stops.

    Parameters
    ----------
    follow_quotas
        Keeps the buckets of the workspaces of this host up to date.
    accept_callers
        Starts to accept connections of callers.
    now
        Clock that waits and deadlines are measured with.
    """

    active_configuration: ActiveConfiguration
    directory: GroupDirectory
    configuration_follower: ConfigurationFollower
    registration_poller: RegistrationPoller
    peer_discovery: PeerDiscovery
    follow_quotas: Callable[[], Coroutine[Any, Any, None]]
    sessions: SessionRegistry
    relayed_work_handler: RelayedWorkHandler
    primary_probe: PrimaryProbe
    holding: Holding
    relay_finder: RelayFinder
    reserved_token_claims: ReservedTokenClaims
    failover_coordinator: FailoverCoordinator
    reachability: Reachability
    rotation: RotationTracker
    limits: ServingLimits
    accept_callers: Callable[[], None]
    log_rate_limit: LogRateLimit
    now: Now


@final
class PlatformHost:
    """Runs the tasks of a host, and drains its sessions at a stop."""

    def __init__(self, parts: HostParts, stop_grace_s: float) -> None:
        """Create a host that has not started yet.

        Parameters
        ----------
        stop_grace_s
            Time from the stop signal until the process is killed.
        """
        self._parts = parts
        self._stop_grace_s = stop_grace_s
        self._stop = asyncio.Event()
        self._tasks = TaskSupervisor()

    def report_readiness(self) -> bool:
        """Answer the load balancer: whether it may send new callers here."""
        is_ready = self._is_ready()
        self._parts.rotation.record_answer(is_ready=is_ready)
        return is_ready

    def request_stop(self) -> None:
        """Start a graceful stop; ``run`` returns when it is complete."""
        logger.info('stop_requested')
        self._stop.set()

    def log_reload(self) -> None:
        """Log a reload signal; the settings do not change while a host runs."""
        logger.info('reload_not_needed')

    async def run(self) -> None:
        """Serve until a stop is requested, then drain the sessions."""
        parts = self._parts
        self._tasks.start('configuration', parts.configuration_follower.run)
        self._tasks.start('registrations', parts.registration_poller.run)
        self._tasks.start('duties', parts.reserved_token_claims.run)
        self._tasks.start('peers', parts.peer_discovery.run)
        self._tasks.start('quotas', parts.follow_quotas)
        await self._parts.active_configuration.wait_until_loaded(
            _CONFIGURATION_WAIT_S
        )
        self._parts.accept_callers()
        stopping = asyncio.create_task(self._stop.wait())
        while not self._stop.is_set():
            self._run_round()
            await asyncio.wait((stopping,), timeout=_POLL_INTERVAL_S)
        await SessionDrain(
            parts.sessions,
            parts.relayed_work_handler,
            parts.rotation,
            parts.limits,
            parts.now,
        ).run(self._stop_grace_s)
        logger.bind(sessions=self._parts.sessions.session_count).info('stopped')

    def _is_ready(self) -> bool:
        return (
            not self._stop.is_set()
            and self._parts.active_configuration.is_loaded
            and self._parts.reachability.is_sufficient()
        )

    def _run_round(self) -> None:
        """Do the regular work once; an unexpected error costs one round."""
        try:
            self._monitor_groups()
            self._parts.directory.update_pool_limits()
            self._redirect_callers()
        except Exception:  # noqa: BLE001 -- the host goes on serving
            logger.exception('host_round_failed')
        self._parts.log_rate_limit.report()

    def _redirect_callers(self) -> None:
        """Close idle sessions of unreachable groups when out of rotation."""
        parts = self._parts
        parts.rotation.update_readiness(is_ready=self._is_ready())
        unreachable = parts.reachability.unreachable_groups()
        parts.sessions.redirect_groups(
            unreachable if parts.rotation.is_out_of_rotation else frozenset()
        )
        parts.sessions.close_idle()

    def _monitor_groups(self) -> None:
        for group in self._parts.directory.groups.values():
            if not self._tasks.is_started(f'group {group.name}'):
                monitor = PrimaryMonitor(
                    group,
                    self._parts.primary_probe,
                    self._parts.failover_coordinator,
                    self._parts.relay_finder,
                    self._parts.now,
                    self._parts.holding,
                )
                self._tasks.start(f'group {group.name}', monitor.run)
