"""Requests newer versions of the configuration from other hosts."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from loguru import logger

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.source_contact import SourceContact
from mimosapond.peers.holder_ranking import prefer_by_host
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.peers.peer_versions import PeerVersions

_ASK_INTERVAL_S: Final = 1.0
_ANSWER_TIMEOUT_S: Final = 1.0
# A host that names a newer version but does not give it is not asked again with
# each of its answers.
_RETRY_DELAY_S: Final = 0.2
# Time for which the source fails before a large configuration is asked of another
# host, whose link it fills: a connection that was reset is no outage.
_OUTAGE_S: Final = 1.5
# Share of the time in which a new configuration must be in force, which passes
# between two reads of the source that this module asks for. Large configurations may
# change several times a second.
_SOURCE_READ_RATIO: Final = 0.3
# Share of the time in which a new configuration must be in force, after which a
# silent source counts as one without contact. The rest is for two requests.
_MAX_SILENCE_RATIO: Final = 0.3
# Hosts that this one chooses among while the source is silent. A choice among
# all would in time connect each host with each other one.
_ASKED_HOST_COUNT: Final = 8


@final
class ConfigurationRequester:
    """Asks other hosts if they have a newer version, or the source is silent.

    A host that names a newer version may not hand it over: it does not answer,
    or the configuration is so large that handing it to each host would fill its
    link. This host then reads the source itself, also while another host
    otherwise does so for it.

    The first version after the start comes from the source only: other hosts
    may be cut off from it, and have an older version than this host had before.
    """

    def __init__(
        self,
        active: ActiveConfiguration,
        on_change: Callable[[Configuration], None],
        contact: SourceContact,
        versions: PeerVersions,
        client: PeerClient,
        directory: PeerDirectory,
        apply_s: float,
    ) -> None:
        """Create a requester.

        Parameters
        ----------
        on_change
            Called with each configuration that has come into force.
        contact
            Says whether the source answers this host, and has it read.
        versions
            Newer versions that other hosts named.
        directory
            Hosts to ask while the source is silent.
        apply_s
            Time within which a new configuration must be in force.
        """
        self._active = active
        self._on_change = on_change
        self._contact = contact
        self._versions = versions
        self._client = client
        self._directory = directory
        self._max_silence_s = apply_s * _MAX_SILENCE_RATIO
        self._source_read_interval_s = apply_s * _SOURCE_READ_RATIO

    async def run(self) -> None:
        """Request newer versions until the task is cancelled."""
        while True:
            await self._versions.wait(_ASK_INTERVAL_S)
            if self._active.is_loaded:
                await self._request()
            else:
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _request(self) -> None:
        if self._contact.is_transferring:
            # The source is probably sending the version that was named.
            await asyncio.sleep(_RETRY_DELAY_S)
            return
        named = self._versions.newest_peer
        peer = self._find_peer(named)
        if peer is None:
            return
        answer = await self._client.ask_configuration(
            peer,
            self._active.version,
            _ANSWER_TIMEOUT_S,
            accepts_large=self._contact.is_failing_for(_OUTAGE_S),
        )
        match answer:
            case Configuration():
                self._apply(answer, peer)
                await asyncio.sleep(_RETRY_DELAY_S)
            case None if named is None:
                await asyncio.sleep(_RETRY_DELAY_S)
            case _:
                # A newer version exists, and it was not handed over.
                self._contact.read_requested.set()
                await asyncio.sleep(self._source_read_interval_s)

    def _find_peer(self, named: Peer | None) -> Peer | None:
        """Return the host to ask: another one if the named one just failed."""
        if named is None:
            is_silent = self._contact.is_silent(self._max_silence_s)
            return self._choose() if is_silent else None
        if self._directory.is_available(named):
            return named
        return self._choose() or named

    def _apply(self, configuration: Configuration, peer: Peer) -> None:
        # A read that was requested for this version need not succeed any more.
        self._contact.read_requested.clear()
        if self._active.activate(configuration):
            logger.bind(peer=peer.host, version=configuration.version).info(
                'configuration_from_peer'
            )
            self._on_change(configuration)

    def _choose(self) -> Peer | None:
        preferred = prefer_by_host(
            self._directory.own_host, self._directory.peers
        )
        available = [
            peer
            for peer in preferred[:_ASKED_HOST_COUNT]
            if self._directory.is_available(peer)
        ]
        return random.choice(available or self._directory.choose(1) or [None])
