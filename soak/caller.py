"""A caller that opens one session after another."""

import asyncio
import itertools
import random
from typing import Final, final

from soak.balancer import FixedHost, PlaceBalancer
from soak.caller_connection import CallerConnection, ErrorAnswer, Success
from soak.caller_session import CallerSession, now_s
from soak.caller_transaction import NOT_APPLIED_CODES, CallerTransaction
from soak.layout import GroupLayout, Layout
from soak.route_kind import RouteKind
from soak.shared_state import SharedState

_SESSION_NUMBERS: Final = itertools.count(1)
_MAX_PAUSE_S: Final = 0.06
_MAX_RECONNECT_DELAY_S: Final = 0.1
_TRANSACTION_RATIO: Final = 0.25
_CROWDED_TRANSACTION_RATIO: Final = 0.7
_WRITE_RATIO: Final = 0.5
_PREPARE_RATIO: Final = 0.56
_SET_MODE_RATIO: Final = 0.6
_CLAIM_RATIO: Final = 0.6
# Probability per operation that the caller closes its session. It makes some
# sessions end after a single operation.
_CLOSE_RATIO: Final = 0.02


@final
class Caller:
    """Runs random operations on a session until one of the ends closes it."""

    def __init__(
        self,
        group: GroupLayout,
        layout: Layout,
        balancer: FixedHost | PlaceBalancer,
        shared: SharedState,
    ) -> None:
        """Create a caller of the databases of ``group``."""
        self._group = group
        self._layout = layout
        self._balancer = balancer
        self._shared = shared
        self._transactions = itertools.count(1)

    async def run(self) -> None:
        """Open and use sessions until cancelled."""
        while True:
            # Session names are unique among all callers.
            name = f's{next(_SESSION_NUMBERS)}'
            rng = random.Random(f'{self._shared.seed} {name} kind')
            session = await self._open(name, rng)
            if session is not None:
                try:
                    await self._serve(session)
                finally:
                    session.connection.close()
            await asyncio.sleep(_MAX_RECONNECT_DELAY_S * rng.random())

    async def _open(
        self, name: str, rng: random.Random
    ) -> CallerSession | None:
        kind = rng.choice(list(RouteKind))
        host = self._balancer.choose(rng)
        connection = await CallerConnection.open(
            host.ip,
            self._layout.front_port,
            f'{self._group.name}-{kind.value}',
        )
        if connection is None:
            return None
        return CallerSession(name, connection, host, kind, self._shared)

    async def _serve(self, session: CallerSession) -> None:
        if session.random.random() < _CLAIM_RATIO:
            if not await session.claim_connection():
                return
        while session.connection.is_open:
            draw = session.random.random()
            if draw < _CLOSE_RATIO:
                return
            if not await self._operate(session, draw):
                return
            await asyncio.sleep(session.random.uniform(0, _MAX_PAUSE_S))

    async def _operate(self, session: CallerSession, draw: float) -> bool:
        is_long = session.shared.is_crowded and (
            session.random.random() < _CROWDED_TRANSACTION_RATIO
        )
        if is_long or draw < _TRANSACTION_RATIO:
            number = next(self._transactions)
            return await CallerTransaction(session, number).run()
        if draw < _WRITE_RATIO:
            return await _write(session)
        if draw < _SET_MODE_RATIO:
            if draw < _PREPARE_RATIO:
                return await session.prepare_statement()
            return isinstance(await session.set_mode(), Success)
        answer = await session.read({}, now_s())
        return (
            isinstance(answer, (Success, ErrorAnswer)) and answer.state == 'I'
        )


async def _write(session: CallerSession) -> bool:
    history = session.shared.history
    write, answer = await session.write()
    match answer:
        case Success(state='I'):
            history.record_acknowledged((write,), now_s())
            return True
        case ErrorAnswer(code=code, state='I') if code in NOT_APPLIED_CODES:
            history.record_not_applied(
                (write,), f'the write was answered with {code}'
            )
            return True
    session.switch_item()
    return isinstance(answer, ErrorAnswer) and answer.state == 'I'
