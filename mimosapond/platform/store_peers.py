"""Announcements of hosts, stored as rows in the platform's store."""

import json
from typing import Final, TypeGuard, final

from loguru import logger

from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_discovery import ANNOUNCE_INTERVAL_S
from mimosapond.peers.peer_source import Peers, PeersUnavailable
from mimosapond.platform.address_codec import decode_address
from mimosapond.platform.store_client import StoreClient
from mimosapond.platform.store_rows import (
    StoredRow,
    StoredRows,
    Unavailable,
)

_TABLE: Final = 'mimosapond-hosts'
_CALL_TIMEOUT_S: Final = 1.0
_MS_PER_S: Final = 1000
# A host that missed this many announcements is considered down.
_MISSED_LIMIT_COUNT: Final = 6
_DEFAULT_CAPACITY: Final = 1.0
_MAX_CAPACITY: Final = 1000.0
_EXPIRY_MS: Final = _MISSED_LIMIT_COUNT * ANNOUNCE_INTERVAL_S * _MS_PER_S


@final
class StorePeers:
    """Source of peers; implements ``PeerSource``."""

    def __init__(self, store: StoreClient) -> None:
        """Create a source that keeps its rows in ``store``."""
        self._store = store

    async def announce(self, own: Peer) -> Peers | PeersUnavailable:
        """Announce this host and return the hosts with a recent announcement.

        Returns
        -------
        Peers or PeersUnavailable
            Peers holds the announcements before that of this call. It is
            returned even if this host's own announcement was not written.
        """
        found = await self._store.read_table(_TABLE, _CALL_TIMEOUT_S)
        if isinstance(found, Unavailable):
            return PeersUnavailable(found.reason)
        await self._write_announcement(own, found)
        peers = [decode_announcement(row, found.now_ms) for row in found.rows]
        return Peers(tuple(peer for peer in peers if peer is not None))

    async def _write_announcement(self, own: Peer, found: StoredRows) -> None:
        content = json.dumps(
            {
                'address': own.address,
                'data_centre': own.data_centre,
                'announced_ms': found.now_ms,
                'capacity': own.capacity,
            },
        )
        versions = {row.key: row.version for row in found.rows}
        version = versions.get(own.host, 0)
        row = StoredRow(own.host, content.encode(), version)
        written = await self._store.compare_and_set(
            _TABLE, row, _CALL_TIMEOUT_S
        )
        if not isinstance(written, StoredRows):
            logger.bind(outcome=str(written)).warning('host_not_announced')


def decode_announcement(row: StoredRow, now_ms: int) -> Peer | None:
    """Return the host of a row; None if it is outdated or not readable."""
    body = decode_json_object(row.content or b'')
    if isinstance(body, UndecodableJson):
        _log_unreadable(row, body.problem)
        return None
    announced_ms = body.get('announced_ms')
    address = decode_address(str(body.get('address')))
    if not isinstance(announced_ms, int) or address is None:
        _log_unreadable(row, 'a field is missing or has another type')
        return None
    if now_ms - announced_ms > _EXPIRY_MS:
        return None
    capacity = body.get('capacity')
    return Peer(
        row.key,
        str(address),
        str(body.get('data_centre', '')),
        capacity if _is_capacity(capacity) else _DEFAULT_CAPACITY,
    )


def _is_capacity(value: object) -> TypeGuard[float]:
    return isinstance(value, float | int) and 0 < value <= _MAX_CAPACITY


def _log_unreadable(row: StoredRow, problem: str) -> None:
    logger.bind(row=row.key, problem=problem).warning('announcement_unreadable')
