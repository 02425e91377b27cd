"""A session of a caller: its requests, numbered, with checked answers."""

import random
import time
from typing import Final, final

from soak.answer_check import mixed_problem
from soak.caller_link import Answer, CallerLink, Done, Lost
from soak.caller_world import CallerWorld
from soak.history import Write, sequence_of
from soak.layout import HostPlace
from soak.operator import MAX_AGE_MS
from soak.route_kind import RouteKind

_MS_PER_S: Final = 1000
# Longer than any time-out of a route.
_PATIENCE_S: Final = 5.0
_SHORT_PATIENCE_S: Final = 0.4
_SHORT_RATIO: Final = 0.04
_PREPARED_RATIO: Final = 0.4
_SINGLE: Final = 't0'
_SHAPES: Final = ('READ q0', 'READ q1', 'WRITE w0', 'WRITE w1')
_NAMES: Final = ('p0', 'p1', 'p2')
_VALUES: Final = ('x', 'y', 'z')
# Reads may lag by this much less than the route allows, as clocks are read
# at different ends of a connection.
_AGE_S: Final = MAX_AGE_MS / _MS_PER_S


@final
class CallerSession:
    """Requests of one session, which writes items of its own."""

    def __init__(
        self,
        name: str,
        link: CallerLink,
        host: HostPlace,
        kind: RouteKind,
        world: CallerWorld,
    ) -> None:
        """Take an open link."""
        self.name: Final = name
        self.random: Final = random.Random(f'{world.seed} {name}')
        self.world: Final = world
        self.link: Final = link
        self._host = host
        self._kind = kind
        self._shapes: dict[str, str] = {}
        self._number = 0
        self._item_number = 0
        self._sequence = 0

    async def ask(self, text: str, transaction: str = _SINGLE) -> Answer:
        """Make a request and check that a success belongs to it."""
        return await self._ask(self.next_id(transaction), text)

    def next_id(self, transaction: str = _SINGLE) -> str:
        """Return a new request id."""
        self._number += 1
        return f'{self.name}.{transaction}.{self._number}'

    async def own_connections(self) -> bool:
        """Let members check that only this session's statements run.

        It is the first request: a read that a cut holds back may run late,
        and must find the value set then as well.
        """
        return isinstance(await self.ask(f'SET owner {self.name}'), Done)

    async def define(self, transaction: str = _SINGLE) -> Answer:
        """Set a value."""
        value = self.random.choice(_VALUES)
        return await self.ask(f'SET mode {value}', transaction)

    async def prepare(self) -> bool:
        """Prepare a name anew; False if the session must close."""
        name = self.random.choice(_NAMES)
        if name in self._shapes:
            if not isinstance(await self.ask(f'CLOSE {name}'), Done):
                return False
            self._shapes.pop(name)
        shape = self.random.choice(_SHAPES)
        answer = await self.ask(f'PARSE {name} {shape}')
        if isinstance(answer, Done):
            self._shapes[name] = shape
        return isinstance(answer, Done)

    async def read(
        self,
        pending: dict[str, int],
        started_s: float,
        transaction: str = _SINGLE,
    ) -> Answer:
        """Read an item and check that it is fresh enough.

        Parameters
        ----------
        pending
            What the transaction has written, by item.
        started_s
            When the read or its transaction was sent.
        """
        item = self._choose_item(pending)
        request_id = self.next_id(transaction)
        answer = await self._ask(request_id, self._text('READ', item))
        if isinstance(answer, Done) and answer.rows:
            found = sequence_of(answer.rows[0])
            wanted = pending.get(item) or self._floor(item, started_s)
            if found < wanted:
                self._report(
                    'STALE',
                    request_id,
                    f'{item} at {found}, wanted {wanted} ({self._kind.value})',
                )
        return answer

    async def write(self, transaction: str = _SINGLE) -> tuple[Write, Answer]:
        """Write an item of this session."""
        self._sequence += 1
        request_id = self.next_id(transaction)
        write = Write(request_id, self._own_item(), self._sequence)
        text = self._text('WRITE', f'{write.item} {write.content}')
        return write, await self._ask(request_id, text)

    def leave_item(self) -> None:
        """Write another item from now on, as an older write may come late."""
        self._item_number += 1

    async def _ask(self, request_id: str, text: str) -> Answer:
        unasked = self.link.unasked()
        if not self.link.is_open:
            return Lost('the host has closed')
        if any(not line.startswith('ERROR') for line in unasked):
            self._report('MIXED', request_id, f'came unasked: {unasked}')
        limit_s = _PATIENCE_S
        if self.random.random() < _SHORT_RATIO:
            limit_s = self.random.uniform(0, _SHORT_PATIENCE_S)
        answer = await self.link.ask(request_id, text, limit_s)
        self.world.count(text, answer)
        if isinstance(answer, Done):
            problem = mixed_problem(request_id, text, self._shapes, answer)
            if problem:
                self._report('MIXED', request_id, problem)
        return answer

    def _report(self, rule: str, request_id: str, detail: str) -> None:
        self.world.violations.add(rule, self._host.name, [request_id], detail)

    def _text(self, word: str, arguments: str) -> str:
        names = [
            name
            for name, shape in self._shapes.items()
            if shape.startswith(word)
        ]
        if names and self.random.random() < _PREPARED_RATIO:
            return f'EXECUTE {self.random.choice(names)} {arguments}'
        return f'{word} {arguments}'

    def _own_item(self) -> str:
        item = f'{self.name}.{self._item_number}'
        self.world.note_item(item)
        return item

    def _choose_item(self, pending: dict[str, int]) -> str:
        if pending and self.random.random() < _PREPARED_RATIO:
            return self.random.choice(list(pending))
        return self.world.choose_item(self.random, self._own_item())

    def _floor(self, item: str, started_s: float) -> int:
        history = self.world.history
        if self._kind is RouteKind.primary:
            return history.floor(item, started_s)
        if self._kind is RouteKind.own_writes and self._is_own(item):
            return history.floor(item, started_s)
        return history.floor(item, started_s - _AGE_S)

    def _is_own(self, item: str) -> bool:
        return item.partition('.')[0] == self.name


def now_s() -> float:
    """Return the clock of this test."""
    return time.monotonic()
