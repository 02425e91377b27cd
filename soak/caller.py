"""One caller, who opens one session after another."""

import asyncio
import itertools
import random
from typing import Final, final

from soak.balancer import Balancer
from soak.caller_link import CallerLink, Done, Refused
from soak.caller_session import CallerSession, now_s
from soak.caller_transaction import PROMISES, CallerTransaction
from soak.caller_world import CallerWorld
from soak.layout import GroupPlace, Layout
from soak.route_kind import RouteKind

_NUMBERS: Final = itertools.count(1)
_PAUSE_S: Final = 0.06
_RECONNECT_S: Final = 0.1
_TRANSACTION_RATIO: Final = 0.25
_WRITE_RATIO: Final = 0.5
_PREPARE_RATIO: Final = 0.56
_DEFINE_RATIO: Final = 0.6
_OWNER_RATIO: Final = 0.6
# Some sessions serve a single operation.
_LEAVE_RATIO: Final = 0.02


@final
class Caller:
    """Keeps a session open as long as its host does."""

    def __init__(
        self,
        group: GroupPlace,
        layout: Layout,
        balancer: Balancer,
        world: CallerWorld,
    ) -> None:
        """Take the group whose databases it uses."""
        self._group = group
        self._layout = layout
        self._balancer = balancer
        self._world = world
        self._transactions = itertools.count(1)

    async def run(self) -> None:
        """Go on until cancelled."""
        while True:
            # The number is new over all callers.
            name = f's{next(_NUMBERS)}'
            source = random.Random(f'{self._world.seed} {name} kind')
            session = await self._open(name, source)
            if session is not None:
                try:
                    await self._serve(session)
                finally:
                    session.link.close()
            await asyncio.sleep(_RECONNECT_S * source.random())

    async def _open(
        self, name: str, source: random.Random
    ) -> CallerSession | None:
        kind = source.choice(list(RouteKind))
        host = self._balancer.choose(source)
        link = await CallerLink.open(
            host.ip,
            self._layout.front_port,
            f'{self._group.name}-{kind.value}',
        )
        if link is None:
            return None
        return CallerSession(name, link, host, kind, self._world)

    async def _serve(self, session: CallerSession) -> None:
        if session.random.random() < _OWNER_RATIO:
            if not await session.own_connections():
                return
        while session.link.is_open:
            draw = session.random.random()
            if draw < _LEAVE_RATIO:
                return
            if not await self._operate(session, draw):
                return
            await asyncio.sleep(session.random.uniform(0, _PAUSE_S))

    async def _operate(self, session: CallerSession, draw: float) -> bool:
        if draw < _TRANSACTION_RATIO:
            number = next(self._transactions)
            return await CallerTransaction(session, number).run()
        if draw < _WRITE_RATIO:
            return await _write(session)
        if draw < _DEFINE_RATIO:
            if draw < _PREPARE_RATIO:
                return await session.prepare()
            return isinstance(await session.define(), Done)
        answer = await session.read({}, now_s())
        return isinstance(answer, (Done, Refused)) and answer.state == 'I'


async def _write(session: CallerSession) -> bool:
    history = session.world.history
    write, answer = await session.write()
    match answer:
        case Done(state='I'):
            history.acknowledge((write,), now_s())
            return True
        case Refused(code=code, state='I') if code in PROMISES:
            history.deny((write,), f'told {code}')
            return True
    session.leave_item()
    return isinstance(answer, Refused) and answer.state == 'I'
