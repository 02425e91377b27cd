"""Requests of one caller session, with checks of their answers."""

import random
import time
from typing import Final, final

from soak.answer_check import find_answer_problem
from soak.caller_connection import Answer, CallerConnection, NoAnswer, Success
from soak.history import Write, sequence_of
from soak.layout import HostLayout
from soak.operator import MAX_AGE_MS
from soak.route_kind import RouteKind
from soak.shared_state import SharedState
from soak.unanswered_check import UnansweredRequest

_MS_PER_S: Final = 1000
# Longer than the timeout of any route.
_ANSWER_TIMEOUT_S: Final = 5.0
_MAX_SHORT_TIMEOUT_S: Final = 0.4
_SHORT_TIMEOUT_RATIO: Final = 0.04
_PREPARED_RATIO: Final = 0.4
_NO_TRANSACTION: Final = 't0'
_SHAPES: Final = ('READ q0', 'READ q1', 'WRITE w0', 'WRITE w1')
_NAMES: Final = ('p0', 'p1', 'p2')
_VALUES: Final = ('x', 'y', 'z')
# Bound on the age of reads. The check compares times of the caller's end of the
# connection and the host applies the bound at its own end, so the two differ
# slightly.
_MAX_AGE_S: Final = MAX_AGE_MS / _MS_PER_S


@final
class CallerSession:
    """Sends requests in one session.

    Only this session writes its items, so the order of their writes is known.
    """

    def __init__(
        self,
        name: str,
        connection: CallerConnection,
        host: HostLayout,
        kind: RouteKind,
        shared: SharedState,
    ) -> None:
        """Use an open connection whose session has no requests yet."""
        self.name: Final = name
        self.random: Final = random.Random(f'{shared.seed} {name}')
        self.shared: Final = shared
        self.connection: Final = connection
        self._host = host
        self._kind = kind
        self._shapes: dict[str, str] = {}
        self._number = 0
        self._item_number = 0
        self._sequence = 0

    async def ask(
        self, text: str, transaction: str = _NO_TRANSACTION
    ) -> Answer:
        """Send a request and check that a successful answer belongs to it."""
        return await self._ask(self.next_id(transaction), text)

    def next_id(self, transaction: str = _NO_TRANSACTION) -> str:
        """Return a request id that is unique in this test."""
        self._number += 1
        return f'{self.name}.{transaction}.{self._number}'

    async def claim_connection(self) -> bool:
        """Set the owner, so that members detect statements of other sessions.

        This is the first request of a session, because a network cut may delay
        a read, and the owner must already be set when the read runs.

        Returns
        -------
        bool
            False if the request failed and the session must be closed.
        """
        return isinstance(await self.ask(f'SET owner {self.name}'), Success)

    async def set_mode(self, transaction: str = _NO_TRANSACTION) -> Answer:
        """Set the session variable ``mode`` to a random value."""
        value = self.random.choice(_VALUES)
        return await self.ask(f'SET mode {value}', transaction)

    async def prepare_statement(self) -> bool:
        """Prepare a statement, closing an earlier one of the same name.

        Returns
        -------
        bool
            False if a request failed and the session must be closed.
        """
        name = self.random.choice(_NAMES)
        if name in self._shapes:
            if not isinstance(await self.ask(f'CLOSE {name}'), Success):
                return False
            self._shapes.pop(name)
        shape = self.random.choice(_SHAPES)
        answer = await self.ask(f'PARSE {name} {shape}')
        if isinstance(answer, Success):
            self._shapes[name] = shape
        return isinstance(answer, Success)

    async def read(
        self,
        pending: dict[str, int],
        started_s: float,
        transaction: str = _NO_TRANSACTION,
    ) -> Answer:
        """Read an item and report a value that is too old.

        Parameters
        ----------
        pending
            Sequence number of the transaction's own last write by item.
        started_s
            Time at which the read, or the begin of its transaction, was sent.
        """
        item = self._choose_item(pending)
        request_id = self.next_id(transaction)
        answer = await self._ask(request_id, self._text('READ', item))
        if isinstance(answer, Success) and answer.rows:
            found = sequence_of(answer.rows[0])
            expected = pending.get(item) or self._oldest_allowed_sequence(
                item, started_s
            )
            if found < expected:
                self._report(
                    'STALE',
                    request_id,
                    f'{item} at {found}, expected {expected} '
                    f'({self._kind.value})',
                )
        return answer

    async def write(
        self, transaction: str = _NO_TRANSACTION
    ) -> tuple[Write, Answer]:
        """Write an item of this session."""
        self._sequence += 1
        request_id = self.next_id(transaction)
        write = Write(request_id, self._current_own_item(), self._sequence)
        text = self._text('WRITE', f'{write.item} {write.content}')
        return write, await self._ask(request_id, text)

    def switch_item(self) -> None:
        """Write another item from now on.

        A write with an unknown outcome may still take effect, and would then
        overwrite a later write of the same item.
        """
        self._item_number += 1

    async def _ask(self, request_id: str, text: str) -> Answer:
        unsolicited = self.connection.take_unsolicited()
        if not self.connection.is_open:
            return NoAnswer('the host closed the connection')
        if any(not line.startswith('ERROR') for line in unsolicited):
            self._report(
                'MIXED', request_id, f'unsolicited lines: {unsolicited}'
            )
        timeout_s = _ANSWER_TIMEOUT_S
        if self.random.random() < _SHORT_TIMEOUT_RATIO:
            timeout_s = self.random.uniform(0, _MAX_SHORT_TIMEOUT_S)
        sent_s = now_s()
        answer = await self.connection.ask(request_id, text, timeout_s)
        self.shared.count(text, answer)
        if isinstance(answer, NoAnswer) and answer.is_cut:
            self.shared.unanswered.append(
                UnansweredRequest(
                    request_id, text, self._host.name, sent_s, now_s()
                )
            )
        if isinstance(answer, Success):
            problem = find_answer_problem(
                request_id, text, self._shapes, answer
            )
            if problem:
                self._report('MIXED', request_id, problem)
        return answer

    def _report(self, rule: str, request_id: str, detail: str) -> None:
        self.shared.violations.add(rule, self._host.name, [request_id], detail)

    def _text(self, word: str, arguments: str) -> str:
        names = [
            name
            for name, shape in self._shapes.items()
            if shape.startswith(word)
        ]
        if names and self.random.random() < _PREPARED_RATIO:
            return f'EXECUTE {self.random.choice(names)} {arguments}'
        return f'{word} {arguments}'

    def _current_own_item(self) -> str:
        item = f'{self.name}.{self._item_number}'
        self.shared.note_item(item)
        return item

    def _choose_item(self, pending: dict[str, int]) -> str:
        if pending and self.random.random() < _PREPARED_RATIO:
            return self.random.choice(list(pending))
        return self.shared.choose_item(self.random, self._current_own_item())

    def _oldest_allowed_sequence(self, item: str, started_s: float) -> int:
        history = self.shared.history
        if self._kind is RouteKind.primary:
            return history.newest_acknowledged(item, started_s)
        if self._kind is RouteKind.own_writes and self._is_own(item):
            return history.newest_acknowledged(item, started_s)
        return history.newest_acknowledged(item, started_s - _MAX_AGE_S)

    def _is_own(self, item: str) -> bool:
        return item.partition('.')[0] == self.name


def now_s() -> float:
    """Return the monotonic time in seconds, as used by all checks."""
    return time.monotonic()
