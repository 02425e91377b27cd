"""A connection to another host that carries many requests at the same time."""

import asyncio
import itertools
from typing import Final, TypeAlias, final

import attrs
from loguru import logger
from tornado.iostream import IOStream, StreamClosedError

from mimosapond.boot_clock import Now
from mimosapond.entry.memory_lanes import MemoryAccount, MemoryLanes
from mimosapond.peers.peer_frame import (
    FrameUnreadableError,
    PeerFrame,
    SkippedFrame,
    encode_frame,
    read_frame,
)

# Time without any data on a connection with a request in flight, after which
# further requests use a new connection. Connections may fall silent for good.
_SILENCE_TIMEOUT_S: Final = 0.25


@final
@attrs.frozen
class LinkFailure:
    """A request got no answer.

    Parameters
    ----------
    was_sent
        Whether the other host may have received the request.
    was_silent
        Whether nothing at all came from the other host since the request.
    """

    reason: str
    was_sent: bool
    was_silent: bool = True


LinkAnswer: TypeAlias = PeerFrame | LinkFailure


@final
@attrs.define(eq=False)
class _Pending:
    future: asyncio.Future[LinkAnswer]
    sent_s: float


@final
class PeerLink:
    """Sends requests to another host and assigns the answers to them."""

    def __init__(self, stream: IOStream, now: Now, lanes: MemoryLanes) -> None:
        """Use an open stream, and start to read answers.

        Parameters
        ----------
        lanes
            Memory for answers.
        """
        stream.set_nodelay(True)  # noqa: FBT003 -- tornado's own signature
        self._stream = stream
        self._now = now
        self._account = MemoryAccount(lanes)
        self._numbers = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._received_s = now()
        self._reader = asyncio.create_task(self._read())

    @property
    def is_usable(self) -> bool:
        """Whether the connection is open and not suspiciously silent."""
        if self._stream.closed():
            return False
        oldest = next(iter(self._pending.values()), None)
        if oldest is None:
            return True
        waiting_since_s = max(oldest.sent_s, self._received_s)
        return self._now() - waiting_since_s < _SILENCE_TIMEOUT_S

    @property
    def is_idle(self) -> bool:
        """Whether no request is in flight."""
        return not self._pending

    async def call(self, path: str, body: bytes, limit_s: float) -> LinkAnswer:
        """Send a request and return its answer within ``limit_s``."""
        number = next(self._numbers)
        pending = _Pending(
            asyncio.get_running_loop().create_future(), self._now()
        )
        self._pending[number] = pending
        try:
            self._send(PeerFrame(number, path, body))
            await asyncio.wait((pending.future,), timeout=limit_s)
        finally:
            self._pending.pop(number, None)
        if pending.future.done():
            return pending.future.result()
        return LinkFailure(
            'no answer in time',
            was_sent=True,
            was_silent=self._received_s < pending.sent_s,
        )

    def close(self) -> None:
        """Close the connection; requests in flight get a failure."""
        self._stream.close()

    def _send(self, frame: PeerFrame) -> None:
        try:
            self._stream.write(encode_frame(frame))
        except StreamClosedError as error:
            self._fail_all(repr(error))

    async def _read(self) -> None:
        try:
            while True:
                frame = await read_frame(self._stream, self._account)
                self._deliver(frame)
                self._account.release()
        except StreamClosedError as error:
            self._fail_all(repr(error))
        except FrameUnreadableError as error:
            logger.bind(problem=repr(error)).warning('peer_frame_unreadable')
            self._fail_all(repr(error))
        finally:
            self._account.release()
            self._stream.close()

    def _deliver(self, frame: PeerFrame | SkippedFrame) -> None:
        self._received_s = self._now()
        pending = self._pending.get(frame.number)
        # The answer to a request that has timed out has no receiver.
        if pending is not None and not pending.future.done():
            pending.future.set_result(_answer(frame))

    def _fail_all(self, reason: str) -> None:
        for pending in self._pending.values():
            if not pending.future.done():
                pending.future.set_result(LinkFailure(reason, was_sent=True))


def _answer(frame: PeerFrame | SkippedFrame) -> LinkAnswer:
    if isinstance(frame, PeerFrame):
        return frame
    return LinkFailure(
        'no memory for the answer', was_sent=True, was_silent=False
    )
