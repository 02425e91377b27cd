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
        """Wait until a newer version is known, but at most ``limit_s``."""
        if self.newest_peer is not None:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._is_seen.wait()
        self._is_seen.clear()

    @property
    def newest_peer(self) -> Peer | None:
        """The host with the newest version; None if it is not newer.

        It stays known until this host has that version, as a request for it
        may fail.
        """
        newest = self._newest
        if newest is None or newest.version <= self._active.version:
            return None
        return newest.peer
