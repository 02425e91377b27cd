"""Log shipping from a primary to one peer."""

import asyncio
import time
from collections.abc import Mapping
from typing import Any, Final, final

from mimosapond.clock import MS_PER_S
from mimosapond.codec import decode, encode
from mimosapond.json_link import JsonLink
from mimosapond.peer_results import PeerAnswered, PeerRejected
from mimosapond.standing import Standing
from standins.append_call import AppendCall
from standins.member_control import APPEND_OPERATION
from standins.member_server import MemberServer

_CALL_TIMEOUT_S: Final = 2.0
_CONNECT_TIMEOUT_S: Final = 0.5
_RETRY_DELAY_S: Final = 0.1
# Interval of empty calls, which inform a peer that missed a change of term.
_HEARTBEAT_S: Final = 0.2
_BATCH_LIMIT_COUNT: Final = 200


@final
class MemberShipper:
    """Copies the log of the primary to the peer after the lag."""

    def __init__(self, server: MemberServer, peer: str) -> None:
        """Store the member and the address (``ip:port``) of the peer."""
        self._server = server
        self._state = server.state
        self._url = f'ws://{peer}/control'
        self._link: JsonLink | None = None
        self._term = 0
        self._matched_position = 0
        self._appended_s: list[float] = []

    async def run(self) -> None:
        """Ship while the member is primary, until cancelled."""
        while True:
            changed = self._state.changed
            self._record_append_times()
            if self._state.is_primary and not self._server.is_ship_paused:
                await self._ship()
            if not self._due_count():
                await self._wait(changed)

    async def _wait(self, changed: asyncio.Event) -> None:
        lag_s = self._server.lag_ms / MS_PER_S
        timeout_s = _HEARTBEAT_S
        if lag_s and self._matched_position < len(self._appended_s):
            due_s = self._appended_s[self._matched_position] + lag_s
            timeout_s = min(timeout_s, max(due_s - time.monotonic(), 0))
        try:
            async with asyncio.timeout(timeout_s):
                await changed.wait()
        except TimeoutError:
            return

    def _record_append_times(self) -> None:
        entries = self._state.log.entries
        if self._term != self._state.term:
            self._term = self._state.term
            self._matched_position = len(entries)
            self._appended_s = []
        now_s = time.monotonic()
        # Entries of earlier terms are shipped without a lag.
        self._appended_s.extend(
            now_s if entry.term == self._term else 0
            for entry in entries[len(self._appended_s) :]
        )

    def _due_count(self) -> int:
        """Return the number of entries whose lag has passed, up to a batch."""
        if not self._state.is_primary or self._server.is_ship_paused:
            return 0
        cutoff_s = time.monotonic() - self._server.lag_ms / MS_PER_S
        start = self._matched_position
        batch = self._appended_s[start : start + _BATCH_LIMIT_COUNT]
        return sum(1 for appended_s in batch if appended_s <= cutoff_s)

    async def _ship(self) -> None:
        call = self._build_call(self._due_count())
        link = self._link
        if link is None or not link.is_open:
            link = await self._connect()
        if link is None:
            return
        answer = await link.call(
            APPEND_OPERATION,
            encode(call),
            _CALL_TIMEOUT_S,
        )
        if self._state.term != call.term:
            return
        match answer:
            case PeerAnswered():
                self._matched_position = call.previous_position + len(
                    call.entries,
                )
            case PeerRejected(body=body):
                self._handle_rejection(body)
            case _:
                link.close()

    def _build_call(self, entry_count: int) -> AppendCall:
        log = self._state.log
        start = self._matched_position
        standing = self._state.standing()
        return AppendCall(
            term=standing.term,
            granted_to=standing.granted_to,
            primary=standing.member,
            previous_term=log.term_at(start),
            previous_position=start,
            entries=tuple(log.entries[start : start + entry_count]),
        )

    async def _connect(self) -> JsonLink | None:
        opened = await JsonLink.open(self._url, {}, _CONNECT_TIMEOUT_S)
        if isinstance(opened, JsonLink):
            self._link = opened
            return opened
        await asyncio.sleep(_RETRY_DELAY_S)
        return None

    def _handle_rejection(self, body: Mapping[str, Any]) -> None:
        standing = decode(Standing, body['standing'])
        if standing.term > self._state.term:
            self._state.adopt_higher_term(
                standing.term, standing.granted_to, None
            )
            return
        position = min(standing.position, self._matched_position)
        while self._state.log.term_at(position) != standing.term_at(position):
            position -= 1
        self._matched_position = position
