"""Registration of one member in the table store."""

import asyncio
import base64
import json
import time
from typing import Any, Final, final

from loguru import logger
from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from standins.database_group.group_member import GroupMember

_TABLE: Final = 'servers'
_DRAINING: Final = 'draining'
_CALL_TIMEOUT_S: Final = 1.0
# Missed heartbeats after which the registration of a member is removed.
_EXPIRY_HEARTBEAT_COUNT: Final = 3


@final
class Registrar:
    """Writes the registration at each heartbeat and after each change.

    A heartbeat without a change repeats the same row: ``seq`` is serialized
    only when another field changes.
    """

    def __init__(self, member: GroupMember) -> None:
        """Start without a registration."""
        self._member = member
        settings = member.settings
        self._url = f'http://{settings.store_address}/standin/rows-put'
        self._client = AsyncHTTPClient(force_instance=True)
        self._entry: dict[str, Any] = {}
        self._entry_json = ''
        self._seq = 0
        self._missed_count = 0

    async def run(self) -> None:
        """Register the member until cancelled."""
        while True:
            if self._member.is_reachable:
                self._missed_count = 0
                await self._send_heartbeat()
            else:
                await self._count_missed_heartbeat()
            await self._wait()

    async def remove(self) -> None:
        """Remove the registration."""
        await self._put(None)

    async def _wait(self) -> None:
        wait_s = self._member.draw_duration_s(
            self._member.settings.heartbeat_ms
        )
        loop = asyncio.get_running_loop()
        end_s = loop.time() + wait_s
        while loop.time() < end_s and not self._has_changed():
            try:
                async with asyncio.timeout_at(end_s):
                    await self._member.wait_for_change()
            except TimeoutError:
                return

    async def _send_heartbeat(self) -> None:
        if self._entry.get('born') != self._member.started_ms:
            self._seq = 0
        self._seq += 1
        if self._has_changed():
            self._entry = self._current()
            self._entry_json = json.dumps({**self._entry, 'seq': self._seq})
        await self._put(self._entry_json)

    async def _count_missed_heartbeat(self) -> None:
        self._missed_count += 1
        if self._missed_count == _EXPIRY_HEARTBEAT_COUNT:
            self._entry = {}
            await self.remove()

    async def _put(self, text: str | None) -> None:
        encoded = base64.b64encode(text.encode()).decode() if text else None
        row = {
            'table': _TABLE,
            'key': self._member.member_id,
            'value': encoded,
        }
        request = HTTPRequest(
            self._url,
            method='POST',
            body=json.dumps(row),
            request_timeout=_CALL_TIMEOUT_S,
        )
        is_draining = self._entry.get('state') == _DRAINING
        try:
            await self._client.fetch(request)
        except Exception as error:  # noqa: BLE001 -- the next heartbeat retries
            logger.bind(problem=repr(error)).warning('registration_failed')
            return
        if is_draining and self._member.drain_accepted_s is None:
            self._member.drain_accepted_s = time.monotonic()

    def _has_changed(self) -> bool:
        return self._member.is_reachable and self._entry != self._current()

    def _current(self) -> dict[str, Any]:
        member = self._member
        return {
            'service': member.settings.group,
            'addr': f'127.0.0.1:{member.endpoint.port}',
            'zone': member.endpoint.data_centre,
            'version': 'v1',
            'slots': member.settings.slots,
            'state': _DRAINING if member.is_draining else 'ready',
            'cold_left_ms': 0,
            'born': member.started_ms,
            'db_role': 'primary' if member.is_primary else 'replica',
        }
