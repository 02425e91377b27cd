"""Calls of a control connection to a member."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final, TypeAlias, final

import cattrs

from mimosapond.clock import MS_PER_S
from mimosapond.codec import decode, encode
from mimosapond.peer_port import PeerOperation
from mimosapond.rejected_call_error import RejectedCallError
from standins.append_call import AppendCall
from standins.member_state import MemberState

APPEND_OPERATION: Final = 'append'
_Body: TypeAlias = Mapping[str, Any]


def _integer(body: _Body, name: str) -> int:
    number = body.get(name)
    if isinstance(number, int):
        return number
    raise RejectedCallError('bad_request', f'{name} must be an integer')


def _asker(body: _Body) -> str:
    asker = body.get('asker')
    if isinstance(asker, str):
        return asker
    raise RejectedCallError('bad_request', 'asker must be a string')


@final
class MemberControl:
    """Calls that grant terms, promote, await positions and ship logs."""

    def __init__(self, state: MemberState) -> None:
        """Store the state that the calls act on."""
        self.operations: Final[Mapping[str, PeerOperation]] = {
            'status': self._status,
            'adopt': self._adopt,
            'promote': self._promote,
            'await_position': self._await_position,
            APPEND_OPERATION: self._append,
        }
        self._state = state

    async def _status(self, _body: _Body) -> _Body:
        return encode(self._state.standing())

    async def _adopt(self, body: _Body) -> _Body:
        self._state.adopt(_integer(body, 'term'), _asker(body))
        return encode(self._state.standing())

    async def _promote(self, body: _Body) -> _Body:
        self._state.promote(_integer(body, 'term'), _asker(body))
        return encode(self._state.standing())

    async def _append(self, body: _Body) -> _Body:
        try:
            call = decode(AppendCall, body)
        except cattrs.BaseValidationError as error:
            raise RejectedCallError('bad_request', repr(error)) from error
        self._state.receive(call)
        return encode(self._state.standing())

    async def _await_position(self, body: _Body) -> _Body:
        term = _integer(body, 'term')
        position = _integer(body, 'position')
        timeout_s = _integer(body, 'timeout_ms') / MS_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_position(term, position)
        except TimeoutError as error:
            raise self._state.rejection(
                'timeout',
                'the position was not reached in time',
            ) from error
        return encode(self._state.standing())

    async def _wait_for_position(self, term: int, position: int) -> None:
        state = self._state
        while not self._has_reached(term, position):
            await state.changed.wait()

    def _has_reached(self, term: int, position: int) -> bool:
        state = self._state
        if state.term > term:
            message = f'the term is {state.term}'
            raise state.rejection('term_changed', message)
        matched_position = state.standing().matched_position
        return state.term == term and matched_position >= position
