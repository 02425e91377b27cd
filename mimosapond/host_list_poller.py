"""Polls the platform's host list and keeps this host registered in it.

The list may be out of date, so only peer addresses and the leaving state are
taken from it. Probes determine whether a host is alive.
"""

from collections.abc import Iterable
from typing import Final, final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.degraded_path import DegradedPath
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.document_store import DocumentStore
from mimosapond.host_state import HostState
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.listed_host import ListedHost
from mimosapond.options import Options
from mimosapond.peer_contacts import PeerContacts
from mimosapond.platform_port import PlatformPort
from mimosapond.platform_results import PlatformUnavailable
from mimosapond.poll_delay import poll_delay_s

LIVE: Final = 'live'
LEAVING: Final = 'leaving'
_SUBJECT: Final = 'hosts'


@final
class HostListPoller:
    """Reads the host list once per poll interval."""

    def __init__(
        self,
        platform: PlatformPort,
        contacts: PeerContacts,
        leaving: LeavingTargets,
        store: DocumentStore,
        degraded: DegradedPaths,
        clock: Clock,
        options: Options,
    ) -> None:
        """Create a poller that reads the list from ``platform``."""
        self._platform = platform
        self._contacts = contacts
        self._leaving = leaving
        self._store = store
        self._degraded = degraded
        self._clock = clock
        self._interval_s = options.platform_poll_interval_ms / MS_PER_S
        self._timeout_s = options.platform_timeout_ms / MS_PER_S

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await self._clock.sleep(
                poll_delay_s(self._interval_s, self._contacts),
            )

    async def poll(self) -> None:
        """Read the list, and register this host if it is not listed.

        If the platform does not answer, the last list stays in use.
        """
        listed = await self._platform.list_hosts(self._timeout_s)
        if isinstance(listed, PlatformUnavailable):
            self._degraded.enter(
                DegradedPath.PLATFORM_UNREACHABLE,
                _SUBJECT,
                listed.problem,
            )
            return
        self._degraded.clear(DegradedPath.PLATFORM_UNREACHABLE, _SUBJECT)
        self._apply(listed)
        own_id = self._contacts.membership.own.host_id
        if all(entry.host_id != own_id for entry in listed):
            await self.register()

    async def register(self) -> None:
        """Write the entry of this host to the list."""
        own = self._contacts.membership.own
        state = LEAVING if own.state is HostState.LEAVING else LIVE
        await self._platform.register_host(
            ListedHost(own.host_id, own.address, own.data_centre, state),
            self._timeout_s,
        )

    def _apply(self, listed: Iterable[ListedHost]) -> None:
        target_names = self._target_names()
        membership = self._contacts.membership
        addresses: list[str] = []
        for entry in listed:
            target = target_names.get(entry.address)
            if target is None and entry.host_id not in target_names.values():
                addresses.append(entry.address)
            elif entry.state == LEAVING:
                self._leaving.mark_leaving((target or entry.host_id,))
            if entry.state == LEAVING:
                membership.mark_leaving(entry.host_id, 'listed as leaving')
        self._contacts.seeds.replace_listed(addresses)

    def _target_names(self) -> dict[str, str]:
        """Return the names of the declared targets by address."""
        return {member.address: member.name for member in self._store.members()}
