"""Connections of hosts to the processes of a group in memory."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from features.change_process import Process
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.member_port import StatusAnswer
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.member_status import MemberStatus
from mimosapond.statements.reply import SessionState
from mimosapond.statements.statement import Begin

# Times that a request needs; each half of it before the process acts on it.
_ANSWERS_S: Final = (0.001, 0.001, 0.001, 0.02, 0.3)
_DIAL_S: Final = 0.001
# Share of the answers that are lost after the process has acted.
_LOSS_RATIO: Final = 0.02
# Share of the requests to resume that are carried out late, and the least and the
# longest time until then.
_LATE_RATIO: Final = 0.9
_LATE_S: Final = (0.3, 6)


@final
class ProcessConnection:
    """A connection to one process; see ``MemberConnection``."""

    def __init__(
        self,
        process: Process,
        host: str,
        draws: random.Random,
        *,
        resumes_late: bool,
    ) -> None:
        """Open an idle connection.

        Parameters
        ----------
        resumes_late
            Whether requests to resume may be carried out late.
        """
        self._process = process
        self._host = host
        self._draws = draws
        self._resumes_late = resumes_late
        self._is_closed = False
        self.state = SessionState.idle
        self.name = process.member_id

    @property
    def is_open(self) -> bool:
        """Whether requests can be made."""
        return not self._is_closed and self._process.is_running

    def close(self) -> None:
        """Mark the connection as closed."""
        self._is_closed = True

    async def begin(
        self, statement: Begin, wait_for: LogPosition | None, limit_s: float
    ) -> MemberAnswer:
        """Begin a transaction; a replica rejects one that may write."""
        answer = await self._request(limit_s, lambda: self._begin(statement))
        if isinstance(answer, LinkLost):
            return answer
        position = self._process.log[-1]
        if answer is not None:
            return Rejected(answer, answer.value, self.state, position)
        if wait_for is not None and wait_for > position:
            kind = RejectionKind.behind
            return Rejected(kind, kind.value, self.state, position)
        self.state = SessionState.in_transaction
        return Completed((), 'signed', self.state, position)

    async def rollback(self, limit_s: float) -> MemberAnswer:
        """End the transaction."""
        self.state = SessionState.idle
        return Completed((), 'signed', self.state, self._process.log[-1])

    async def status(self, limit_s: float) -> StatusAnswer:
        """Report the role and the log position."""
        return await self._request(limit_s, lambda: self._process.status)

    async def pause(self, term: int, limit_s: float) -> StatusAnswer:
        """Stop receiving, unless the member is the primary."""
        return await self._request(limit_s, lambda: self._pause(term))

    async def resume(self, limit_s: float) -> StatusAnswer:
        """End a pause, whichever term it has."""
        if not self._resumes_late or self._draws.random() >= _LATE_RATIO:
            return await self._request(limit_s, self._resume)
        late_s = self._draws.uniform(*_LATE_S)
        asyncio.get_running_loop().call_later(late_s, self._resume_late)
        await asyncio.sleep(limit_s)
        return self._lose()

    async def step_down(self, term: int, limit_s: float) -> StatusAnswer:
        """Become a replica, if the term is lower."""
        return await self._request(limit_s, lambda: self._step_down(term))

    async def _request(
        self, limit_s: float, act: Callable[[], object]
    ) -> object | LinkLost:
        """Let the process act after half of the time; it may end meanwhile."""
        half_s = self._draws.choice(_ANSWERS_S) / 2
        await asyncio.sleep(half_s)
        if not self._reaches():
            await asyncio.sleep(limit_s / 2)
            return self._lose()
        outcome = act()
        await asyncio.sleep(half_s)
        if not self._reaches() or self._draws.random() < _LOSS_RATIO:
            return self._lose()
        return outcome

    def _reaches(self) -> bool:
        return self.is_open and self._process.reaches(self._host)

    def _lose(self) -> LinkLost:
        self.close()
        return LinkLost('silent')

    def _begin(self, statement: Begin) -> RejectionKind | None:
        if statement.is_read_only or self._process.is_primary:
            return None
        return RejectionKind.not_primary

    def _pause(self, term: int) -> MemberStatus:
        if not self._process.is_primary and term > self._process.term:
            self._process.paused_term = max(term, self._process.paused_term)
        return self._process.status

    def _resume(self) -> MemberStatus:
        self._process.paused_term = 0
        return self._process.status

    def _resume_late(self) -> None:
        """Carry the request out, unless the process has ended meanwhile."""
        if self._process.is_running:
            self._resume()

    def _step_down(self, term: int) -> MemberStatus:
        if term > self._process.term:
            self._process.is_primary = False
        return self._process.status


@final
class ProcessDialer:
    """Opens the connections of a host; see ``MemberDialer``."""

    def __init__(
        self,
        processes: dict[str, Process],
        host: str,
        draws: random.Random,
        *,
        resumes_late: bool,
    ) -> None:
        """Dial the present processes by member id.

        Parameters
        ----------
        resumes_late
            Whether requests to resume may be carried out late.
        """
        self._processes = processes
        self._host = host
        self._draws = draws
        self._resumes_late = resumes_late

    async def dial(
        self, record: MemberRecord, workspace: str = ''
    ) -> ProcessConnection | Rejected | LinkLost:
        """Open a connection to the process that runs under the id now."""
        await asyncio.sleep(_DIAL_S)
        process = self._processes.get(record.member_id)
        if process is None or not process.reaches(self._host):
            return LinkLost('refused')
        if process.is_full:
            kind = RejectionKind.too_many_connections
            return Rejected(kind, 'full', SessionState.idle, None)
        return ProcessConnection(
            process, self._host, self._draws, resumes_late=self._resumes_late
        )
