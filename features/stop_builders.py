"""Builders of a host that stops, and of its callers, for tests."""

import asyncio
import itertools
from collections.abc import Iterable
from typing import Any, Final, Self, final

from tornado.netutil import bind_sockets

from features.group_builders import (
    DATABASE,
    GroupWorld,
    build_route,
    build_world,
)
from features.relay_builders import build_relayed_work_services
from mimosapond.boot_clock import boot_time_s
from mimosapond.entry.rotation_tracker import RotationTracker
from mimosapond.entry.session_drain import SessionDrain
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.platform.caller_server import CallerServer
from soak.caller_connection import (
    Answer,
    CallerConnection,
    ErrorAnswer,
    NoAnswer,
)

LOOPBACK: Final = '127.0.0.1'
_ANSWER_TIMEOUT_S: Final = 5.0
_REQUEST_NUMBERS: Final = itertools.count(1)


@final
class StoppingHost:
    """The callers' side of a host, with fake members behind it."""

    def __init__(self, world: GroupWorld, registry: SessionRegistry) -> None:
        """Create a host that does not listen yet."""
        self.world: Final = world
        self.registry: Final = registry
        self.port = 0
        self._server = CallerServer(registry)
        self._serving_tasks: set[asyncio.Task[Any]] = set()

    @classmethod
    async def start(cls, world: GroupWorld) -> Self:
        """Listen at a free port, with a primary that is confirmed."""
        host = cls(world, SessionRegistry(world.services))
        await world.probe.ask(world.group, world.group.members['p'])
        sockets = bind_sockets(0, LOOPBACK)
        host.port = sockets[0].getsockname()[1]
        host._server.add_sockets(sockets)
        return host

    async def stop(self, grace_s: float) -> None:
        """Drain the sessions after the load balancer was told of the stop."""
        rotation = RotationTracker(boot_time_s)
        for _ in range(2):
            rotation.record_answer(is_ready=False)
        await SessionDrain(
            self.registry,
            RelayedWorkHandler(build_relayed_work_services(self.world)),
            rotation,
            self.world.services.limits,
            boot_time_s,
        ).run(grace_s)

    async def end(self, *others: asyncio.Task[Any]) -> None:
        """Cancel all tasks but ``others``, as the end of the process does."""
        self._server.stop()
        kept = {*others, asyncio.current_task()}
        tasks = asyncio.all_tasks() - kept
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def connect(self) -> CallerConnection | None:
        """Open a session as a caller; None if the host refuses it."""
        return await CallerConnection.open(LOOPBACK, self.port, DATABASE)


def build_slow_world(work_ms: float, timeout_ms: float = 3000) -> GroupWorld:
    """Build a group whose members need some time for each statement."""
    world = build_world(build_route(timeout_ms=timeout_ms))
    for fake in world.fakes.values():
        fake.statement_s = work_ms / 1000
    return world


async def send_all(
    connection: CallerConnection, texts: Iterable[str]
) -> list[Answer]:
    """Send statements one after another until one fails."""
    answers: list[Answer] = []
    for text in texts:
        request_id = f'r{next(_REQUEST_NUMBERS)}'
        answer = await connection.ask(request_id, text, _ANSWER_TIMEOUT_S)
        answers.append(answer)
        if isinstance(answer, (ErrorAnswer, NoAnswer)):
            break
    return answers


def name_answer(answer: Answer) -> str:
    """Return the word that the host answered with; empty without an answer."""
    match answer:
        case ErrorAnswer(code=code):
            return code
        case NoAnswer():
            return ''
        case _:
            return 'COMPLETE'
