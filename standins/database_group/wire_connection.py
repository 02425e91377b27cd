"""Connection of a caller to a member, on the wire protocol."""

import asyncio
from typing import Final, cast, final

from standins.database_group.group_member import GroupMember
from standins.database_group.member_session import MemberSession
from standins.database_group.statement_result import (
    MALFORMED,
    Result,
    result_lines,
)

_LINE_END: Final = b'\r\n'
_MAX_LINE_BYTES: Final = 1024 * 1024
_REACHABLE_POLL_INTERVAL_S: Final = 0.02
# Exceeds some timeouts of callers, which then expire within an answer.
_MAX_SPLIT_DELAY_S: Final = 1.0
_TERMINATE: Final = 'TERMINATE'


@final
class WireConnection(asyncio.Protocol):
    """Answers the lines of a caller in order."""

    def __init__(self, member: GroupMember) -> None:
        """Start without a connected transport."""
        self.session: Final = MemberSession(member)
        self._member = member
        self._lines: asyncio.Queue[str] = asyncio.Queue()
        self._received = b''
        # Requests without an answer, including those whose answer was dropped.
        self._pending_count = 0
        self._is_silent = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is in flight."""
        return self._pending_count > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task that answers the lines."""
        self._transport = cast(asyncio.Transport, transport)
        self._member.open_connections.add(self)
        self._task = asyncio.create_task(self._serve())

    def connection_lost(self, error: Exception | None) -> None:
        """Roll back once the request in flight has finished."""
        self._member.open_connections.discard(self)
        self._member.counted_connections.discard(self)
        self._lines.put_nowait(_TERMINATE)

    def data_received(self, received: bytes) -> None:
        """Queue complete lines."""
        if self._is_silent:
            return
        lines = (self._received + received).split(_LINE_END)
        self._received = lines.pop()
        if len(self._received) > _MAX_LINE_BYTES:
            self._transport.abort()
        for line in lines:
            text = line.decode(errors='replace')
            if text != _TERMINATE:
                self._register_request(text)
            self._lines.put_nowait(text)

    def stop_answering(self) -> None:
        """Ignore all further lines, as if the peer were unreachable."""
        self._is_silent = True

    def drop(self) -> None:
        """Stop serving the connection without closing its socket."""
        self._member.counted_connections.discard(self)
        self._task.cancel()
        self.session.roll_back()

    def abort(self) -> None:
        """Close the connection at once and cancel the request in flight."""
        self.drop()
        self._transport.abort()

    async def _serve(self) -> None:
        if not await self._handshake(await self._lines.get()):
            self._transport.close()
            return
        line = await self._lines.get()
        while line != _TERMINATE:
            await self._answer(line)
            line = await self._lines.get()
        self.session.roll_back()
        self._member.counted_connections.discard(self)
        self._transport.close()

    async def _handshake(self, line: str) -> bool:
        await self._wait_until_reachable()
        words = line.split(' ')
        is_expected = words[:2] == ['START', self._member.settings.group]
        if not is_expected or words[3:] not in ([], [self._member.member_id]):
            await self._send(f'ERROR WRONGNODE {self._member.member_id}')
            return False
        if not self._member.accepts_connections:
            self._member.checks.counts['CONNLIMIT'] += 1
            await self._send('ERROR CONNLIMIT too many connections')
            return False
        self._member.counted_connections.add(self)
        self._member.checks.counts['START'] += 1
        handshake_ms = self._member.settings.handshake_ms
        await self._member.slots.occupy(
            self._member.draw_duration_s(handshake_ms)
        )
        await self._send(self.session.ready_line)
        return True

    async def _answer(self, line: str) -> None:
        await self._wait_until_reachable()
        word, _, rest = line.partition(' ')
        request_id, _, text = rest.partition(' ')
        result: Result = MALFORMED
        if word == 'QUERY':
            result = await self.session.run(request_id, text)
        await self._send(*result_lines(result), self.session.ready_line)

    async def _send(self, *lines: str) -> None:
        await self._wait_until_reachable()
        content = ''.join(f'{line}\r\n' for line in lines).encode()
        draw = self._member.random.random
        if self._is_silent or draw() < self._member.faults.ratio('answer_lost'):
            return
        cut = self._member.random.randrange(1, len(content))
        if draw() < self._member.faults.ratio('answer_cut'):
            self._transport.write(content[:cut])
            self._transport.close()
        elif draw() < self._member.faults.ratio('answer_split'):
            self._transport.write(content[:cut])
            await asyncio.sleep(draw() * _MAX_SPLIT_DELAY_S)
            self._transport.write(content[cut:])
        else:
            self._transport.write(content)
        self._pending_count -= 1

    async def _wait_until_reachable(self) -> None:
        while self._member.faults.has('dark'):
            await asyncio.sleep(_REACHABLE_POLL_INTERVAL_S)

    def _register_request(self, text: str) -> None:
        if self._pending_count:
            detail = f'sent before the earlier answer: {text}'
            self._member.checks.record(
                'PIPELINED', self._member.member_id, detail
            )
        self._pending_count += 1
