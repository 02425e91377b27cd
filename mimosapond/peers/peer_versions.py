"""Newer versions of the configuration that answers of other hosts name."""

import asyncio
import contextlib
from typing import Final, final

import attrs

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.peers.peer import Peer

# Field of each answer between hosts: the version that its host has in force.
VERSION_FIELD: Final = 'configuration_version'


@final
@attrs.frozen
class _Sighting:
    peer: Peer
    version: int


@final
class PeerVersions:
    """Keeps the newest version that is newer than that of this host."""

    def __init__(self, active: ActiveConfiguration) -> None:
        """Start without sightings; ``active`` has this host's version."""
        self._active = active
        self._newest: _Sighting | None = None
        self._is_seen = asyncio.Event()

    def record(self, peer: Peer, version: object) -> None:
        """Record the version that an answer names.

        Parameters
        ----------
        version
            Content of the field; hosts of an earlier version of the product do
            not send it, and then it is None.
        """
        if not isinstance(version, int) or version <= self._active.version:
            return
        if self._newest is None or version > self._newest.version:
            self._newest = _Sighting(peer, version)
            self._is_seen.set()

    async def wait(self, limit_s: float) -> None:
        """Wait for the next newer version, but at most ``limit_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._is_seen.wait()
        self._is_seen.clear()

    def take(self) -> Peer | None:
        """Return the host with the newest version, and forget about it.

        Returns
        -------
        Peer | None
            None if no host is known to have a newer version than this one.
        """
        newest = self._newest
        self._newest = None
        if newest is None or newest.version <= self._active.version:
            return None
        return newest.peer
