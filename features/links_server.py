"""A host in a thread that shuts down as soon as its calls have ended."""

import asyncio
import contextlib
import threading
from collections.abc import Iterator, Mapping
from typing import Any, Final, final

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.web import Application

from mimosapond.in_flight import InFlight
from mimosapond.json_link_server import JsonLinkHandler

_LOOPBACK: Final = '127.0.0.1'
_TIMEOUT_S: Final = 10


@final
class LeavingHost:
    """Answers calls of the operation ``work`` when it is told to shut down.

    Attributes
    ----------
    address
        ``ip:port`` of its listener.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Listen on a free port; ``loop`` runs in another thread."""
        self._loop = loop
        self._in_flight = InFlight()
        self._has_call = asyncio.Event()
        self._may_answer = asyncio.Event()
        sockets = bind_sockets(0, _LOOPBACK)
        self.address = f'{_LOOPBACK}:{sockets[0].getsockname()[1]}'
        operations = self._in_flight.counted({'work': self._work})
        peer = {'operations': operations, 'secret': None}
        self._server = _Server(
            Application(
                [('/peer', JsonLinkHandler, peer)],
                log_function=_ignore_request,
            ),
        )
        loop.call_soon_threadsafe(self._server.add_sockets, sockets)

    def leave(self) -> None:
        """Answer the pending calls, close the connections, and wait for it."""
        leaving = asyncio.run_coroutine_threadsafe(self._leave(), self._loop)
        leaving.result(_TIMEOUT_S)

    async def _leave(self) -> None:
        await self._has_call.wait()
        self._may_answer.set()
        await self._in_flight.wait_idle(_TIMEOUT_S)
        self._server.stop()
        self._server.close_streams()

    async def _work(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        self._has_call.set()
        await self._may_answer.wait()
        return body


@contextlib.contextmanager
def leaving_host() -> Iterator[LeavingHost]:
    """Run a host in a thread for the duration of the ``with`` block."""
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield LeavingHost(loop)
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


class _Server(HTTPServer):
    """Tracks its connections, because Tornado does not close WebSockets."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self._streams: list[IOStream] = []

    def handle_stream(self, stream: IOStream, address: tuple[Any, ...]) -> None:
        self._streams.append(stream)
        super().handle_stream(stream, address)

    def close_streams(self) -> None:
        for stream in self._streams:
            stream.close()


def _ignore_request(_handler: object) -> None:
    """Log nothing, because log lines would hide the test report."""
