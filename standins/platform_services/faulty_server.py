"""HTTP server that injects the faults of a service into its calls."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable, Mapping
from http import HTTPStatus
from typing import Any, Final, TypeAlias, final

import attrs
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from mimosapond.json_response import send_json
from standins.platform_services.store_fault import StoreFault

_SLOW_DELAY_S: Final = 0.4
# Calls of members, the operator and the test driver are free of faults.
_FAULT_FREE_PREFIX: Final = '/standin/'

ServiceAnswer: TypeAlias = tuple[HTTPStatus, Mapping[str, Any]]
_Handler: TypeAlias = Callable[[HTTPServerRequest], Awaitable[ServiceAnswer]]


@final
@attrs.frozen
class _TimedFault:
    """Fault until a time on the monotonic clock, and its delay of calls."""

    fault: StoreFault
    end_s: float
    late_s: float


_NO_FAULT: Final = _TimedFault(StoreFault.none, 0, 0)


@final
class FaultyServer:
    """Answers calls under the faults in force.

    Attributes
    ----------
    fault
        Fault of all hosts, unless a timed fault is in force.
    """

    def __init__(self, handler: _Handler, late_s: float) -> None:
        """Create the server without listening.

        Parameters
        ----------
        handler
            Performs a call and returns its answer.
        late_s
            Delay of calls under the fault ``applies_late``.
        """
        self._handler = handler
        self._late_s = late_s
        self._tasks: set[asyncio.Task[None]] = set()
        self._server = HTTPServer(self._handle)
        self._host_faults: dict[str, _TimedFault] = {}
        self._fault_end_s = -math.inf
        self.fault = StoreFault.none

    def listen(self, ip: str, port: int = 0) -> str:
        """Listen on a port, by default any free port; return ``ip:port``."""
        sockets = bind_sockets(port, ip)
        self._server.add_sockets(sockets)
        return f'{ip}:{sockets[0].getsockname()[1]}'

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def inject_fault(
        self,
        fault: StoreFault,
        for_s: float,
        hosts: list[str],
        late_s: float = 0,
    ) -> None:
        """Put a fault into force for ``for_s`` seconds.

        Parameters
        ----------
        hosts
            Server addresses that the affected hosts use; if empty, all hosts
            are affected.
        late_s
            Delay of the calls under the fault ``applies_late``; by default,
            that of this server.
        """
        end_s = time.monotonic() + for_s
        self._fault_end_s = max(self._fault_end_s, end_s)
        for host in hosts or ['']:
            self._host_faults[host] = _TimedFault(
                fault, end_s, late_s or self._late_s
            )

    def was_disturbed_within(self, age_s: float) -> bool:
        """Return whether a timed fault ended less than ``age_s`` ago."""
        return time.monotonic() - self._fault_end_s < age_s

    def _fault_of(self, request: HTTPServerRequest) -> _TimedFault:
        if request.path.startswith(_FAULT_FREE_PREFIX):
            return _NO_FAULT
        for host in (request.host_name, ''):
            found = self._host_faults.get(host, _NO_FAULT)
            if time.monotonic() < found.end_s:
                return found
        return _TimedFault(self.fault, math.inf, self._late_s)

    def _handle(self, request: HTTPServerRequest) -> None:
        task = asyncio.create_task(self._answer(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _answer(self, request: HTTPServerRequest) -> None:
        found = self._fault_of(request)
        match found.fault:
            case StoreFault.none:
                _send(request, await self._handler(request))
            case StoreFault.refuses:
                _send(request, (HTTPStatus.SERVICE_UNAVAILABLE, {}))
            case StoreFault.loses_answers:
                await self._handler(request)
            case StoreFault.applies_late:
                await asyncio.sleep(found.late_s)
                await self._handler(request)
            case StoreFault.slow:
                await asyncio.sleep(_SLOW_DELAY_S)
                _send(request, await self._handler(request))
            case StoreFault.silent:
                return


def _send(request: HTTPServerRequest, answer: ServiceAnswer) -> None:
    status, body = answer
    try:
        send_json(request, status, body)
    except StreamClosedError:
        logger.bind(path=request.path).debug('caller_left')
