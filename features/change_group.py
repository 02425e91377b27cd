"""A group in memory: commits, replication, promotions and registrations.

Processes register with a delay, and a registration lapses some time after the
end of its process. A promotion takes effect after the call that asks for it.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

import attrs

from features.change_process import EMPTY, Process, born_ms
from features.group_builders import build_record
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_record import MemberRecord

# Time between two registrations of a member. A restarted one may wait as long.
_HEARTBEAT_S: Final = 1.0
# Three heartbeats without a sign of life end a registration.
_LAPSE_S: Final = 3.0
_TICK_S: Final = 0.25
# Share of the ticks at which a member registers before its heartbeat is due.
_EARLY_RATIO: Final = 0.1
# Time from the last answer of a member that is chosen to the call.
_ASKED_S: Final = 0.6
_FIRST: Final = LogPosition(1, 1)


@final
@attrs.define
class _Registration:
    """What a process wrote last, and when."""

    record: MemberRecord
    written_s: float


@final
class ChangeGroup:
    """The processes of a group and the commits that callers rely on.

    Attributes
    ----------
    processes
        The present process of each member id, also one that is down.
    term
        Newest term that began.
    confirmed
        Commits that were acknowledged to their callers.
    """

    def __init__(
        self,
        draws: random.Random,
        now: Callable[[], float],
        *,
        ends_all_pauses: bool,
    ) -> None:
        """Create a group with the primary p and the replicas a and b.

        Parameters
        ----------
        ends_all_pauses
            Whether a promotion ends the pauses of all members, and not only
            that of the member which leads.
        """
        self._ends_all_pauses = ends_all_pauses
        self._draws = draws
        self._now = now
        self._registrations: dict[str, _Registration] = {}
        self._events: list[str] = []
        self.term = 1
        self.confirmed: list[LogPosition] = []
        self.violations: list[str] = []
        self.processes = {
            name: Process(name, port + 1, born_ms(0), [EMPTY, _FIRST])
            for port, name in enumerate(('p', 'a', 'b'))
        }
        self.processes['p'].is_primary = True
        self._write_registrations(1)

    async def run(self) -> None:
        """Let members register until cancelled."""
        while True:
            await asyncio.sleep(_TICK_S)
            self._write_registrations(_EARLY_RATIO)

    @property
    def running(self) -> list[Process]:
        """The processes that run."""
        return [each for each in self.processes.values() if each.is_running]

    @property
    def replicas(self) -> list[Process]:
        """The running processes that do not lead."""
        return [each for each in self.running if not each.is_primary]

    @property
    def primary(self) -> Process | None:
        """The primary, if it runs."""
        return next((each for each in self.running if each.is_primary), None)

    @property
    def records(self) -> tuple[MemberRecord, ...]:
        """The registrations that a read of the store returns."""
        return tuple(each.record for each in self._registrations.values())

    def add(self, process: Process) -> None:
        """Adopt a process that started."""
        self.processes[process.member_id] = process

    def unregister(self, member_id: str) -> None:
        """Remove the registration of a member that has left."""
        self._registrations.pop(member_id, None)

    def commit(self) -> LogPosition | None:
        """Append a commit to the log of the primary."""
        primary = self.primary
        if primary is None:
            return None
        position = LogPosition(primary.term, primary.log[-1].number + 1)
        primary.log = [*primary.log, position]
        return position

    def is_acknowledged(self, primary: Process, position: LogPosition) -> bool:
        """Return whether a primary acknowledges a commit by now."""
        is_leading = primary.is_running and primary.is_primary
        return is_leading and any(
            position in each.log for each in self.running if each is not primary
        )

    def is_kept_without(self, process: Process) -> bool:
        """Return whether the commits that callers rely on are in other logs."""
        others = [each for each in self.processes.values() if not each.is_gone]
        return all(
            any(position in each.log for each in others if each is not process)
            for position in self.confirmed
        )

    def replicate(self, receiver: Process, count: int) -> None:
        """Let a replica receive some commits, if it receives any."""
        if self.primary is not None and receiver.receives:
            receiver.receive(self.primary, count)

    def lead(self, member_id: str, called_s: float) -> None:
        """Let a promotion take effect.

        A member that loses its log after it was asked and before it is called
        leads without it; no host can prevent that, so it is not reported.

        Parameters
        ----------
        called_s
            Time at which the call was carried out.
        """
        chosen = self.processes[member_id]
        if not chosen.is_running or chosen.is_primary:
            return
        self.term += 1
        for each in self.processes.values():
            each.is_primary = False
        chosen.is_primary = True
        chosen.paused_term = 0
        chosen.term = self.term
        for replica in self.replicas:
            if self._ends_all_pauses:
                replica.paused_term = 0
            is_ahead = replica.log[-1] > chosen.log[-1]
            if is_ahead or self._draws.random() < 1 / 2:
                replica.undo(chosen)
        self.note(f'{member_id} leads term {self.term} from {chosen.log[-1]}')
        if not chosen.has_lost_log or called_s - chosen.started_s >= _ASKED_S:
            self._report_missing(chosen)
        self.confirmed = [
            position for position in self.confirmed if position in chosen.log
        ]

    def confirm(self, position: LogPosition) -> None:
        """Record that a caller was told of a commit."""
        self.note(f'{position} is confirmed')
        self.confirmed.append(position)
        leading = [each for each in self.processes.values() if each.is_primary]
        if leading and position not in leading[0].log:
            self.violate(f'{position} was confirmed after it was undone')

    def note(self, event: str) -> None:
        """Add an event to the report of a violation."""
        self._events.append(f'{self._now():.2f} {event}')

    def violate(self, text: str) -> None:
        """Report a lost commit with the events before it."""
        self.violations.append(f'{text}: {self._events}')

    def _report_missing(self, chosen: Process) -> None:
        for position in self.confirmed:
            if position not in chosen.log:
                self.violate(f'{chosen.member_id} leads without {position}')

    def _write_registrations(self, ratio: float) -> None:
        now_s = self._now()
        for process in self.running:
            record = _build_record(process)
            known = self._registrations.get(process.member_id)
            # A change of role is reported at once.
            is_due = now_s - _written_s(known, process) >= _HEARTBEAT_S
            has_new_role = (
                known is not None
                and known.record.reports_primary != record.reports_primary
            )
            if is_due or has_new_role or self._draws.random() < ratio:
                self._registrations[process.member_id] = _Registration(
                    record, now_s
                )
        self._registrations = {
            name: registration
            for name, registration in self._registrations.items()
            if now_s - registration.written_s < _LAPSE_S
        }


def _written_s(known: _Registration | None, process: Process) -> float:
    """Return the time of the last registration, or of the start without one."""
    return process.started_s if known is None else known.written_s


def _build_record(process: Process) -> MemberRecord:
    record = build_record(
        process.member_id,
        is_leaving=process.leaving_since_s is not None,
        reports_primary=process.is_primary,
        port=process.port,
    )
    return attrs.evolve(record, born_ms=process.born_ms)
