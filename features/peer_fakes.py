"""Fake of another host that answers frames in a way that a test sets."""

import asyncio
from typing import Final, final

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from mimosapond.entry.host_resources import default_resources
from mimosapond.entry.memory_lanes import MemoryAccount
from mimosapond.peers.peer_frame import PeerFrame, encode_frame, read_frame

_LOOPBACK: Final = '127.0.0.1'
_FIRST_ANSWER_DELAY_S: Final = 0.1


@final
class FakePeer(TCPServer):
    """Returns the body of each request, or ``answer``, as its answer.

    The first request of all is answered last, or the first connection is never
    answered.
    """

    def __init__(self, *, is_first_connection_silent: bool) -> None:
        """Create a peer that is not listening."""
        super().__init__()
        self._is_first_connection_silent = is_first_connection_silent
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self.connection_count = 0
        self.answer: bytes | None = None
        # Number of the request that gets no answer; the first one has number 1.
        self.unanswered_number = 0
        self.status = '200'

    def open_port(self) -> str:
        """Listen on a free port and return ``ip:port``."""
        sockets = bind_sockets(0, _LOOPBACK)
        self.add_sockets(sockets)
        return f'{_LOOPBACK}:{sockets[0].getsockname()[1]}'

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        """Answer the requests of one connection."""
        self.connection_count += 1
        is_silent = (
            self._is_first_connection_silent and self.connection_count == 1
        )
        account = MemoryAccount(default_resources().frames)
        try:
            while True:
                frame = await read_frame(stream, account)
                if not is_silent and isinstance(frame, PeerFrame):
                    self._start_answer(stream, frame)
        except StreamClosedError:
            return

    def _start_answer(self, stream: IOStream, frame: PeerFrame) -> None:
        task = asyncio.create_task(self._answer(stream, frame))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, stream: IOStream, frame: PeerFrame) -> None:
        self._request_count += 1
        if self._request_count == self.unanswered_number:
            return
        if self._request_count == 1:
            await asyncio.sleep(_FIRST_ANSWER_DELAY_S)
        body = frame.body if self.answer is None else self.answer
        answer = PeerFrame(frame.number, self.status, body)
        await stream.write(encode_frame(answer))
