"""Processes of a group in memory, with their whole logs."""

from typing import Final, TypeAlias, final

import attrs

from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_status import MemberStatus

Log: TypeAlias = list[LogPosition]

_MS_PER_S: Final = 1000
# Where each log begins; no commit has this position.
EMPTY: Final = LogPosition(0, 0)


@final
@attrs.define(eq=False)
class Process:
    """One process of a member; another one may follow under its id.

    Parameters
    ----------
    port
        Port of the address; the successor of a member that left uses it again.
    born_ms
        Time of its start.
    """

    member_id: str
    port: int
    born_ms: int
    log: Log = attrs.field(factory=lambda: [EMPTY])
    term: int = 1
    is_primary: bool = False
    paused_term: int = 0
    is_running: bool = True
    # Whether the network keeps the commits of the primary from it.
    is_deaf: bool = False
    # Whether all connections that it accepts are in use.
    is_full: bool = False
    leaving_since_s: float | None = None
    # Whether it started under the id of a former process without its log.
    has_lost_log: bool = False
    # Whether it has ended for good, with its log.
    is_gone: bool = False
    # Names of the hosts that do not reach it.
    cut_hosts: set[str] = attrs.field(factory=set)

    @property
    def started_s(self) -> float:
        """Time of its start."""
        return self.born_ms / _MS_PER_S

    @property
    def status(self) -> MemberStatus:
        """The status that it reports."""
        return MemberStatus(
            is_primary=self.is_primary,
            term=self.term,
            received=self.log[-1],
            paused_term=self.paused_term,
        )

    @property
    def receives(self) -> bool:
        """Whether it is a replica that receives commits."""
        is_stopped = self.is_primary or self.is_deaf or self.paused_term > 0
        return self.is_running and not is_stopped

    def receive(self, primary: 'Process', count: int) -> None:
        """Receive up to ``count`` commits; what the primary lacks is undone."""
        self.undo(primary)
        self.log = primary.log[: len(self.log) + count]

    def undo(self, primary: 'Process') -> None:
        """Enter the term of a primary; what the primary lacks is undone."""
        self.term = primary.term
        common = len(self.log)
        while self.log[:common] != primary.log[:common]:
            common -= 1
        self.log = self.log[:common]

    def reaches(self, host: str) -> bool:
        """Return whether it answers a host."""
        return self.is_running and host not in self.cut_hosts

    def start_again(self, now_s: float, *, keeps_log: bool) -> 'Process':
        """Return the process that follows under its id; it is a replica."""
        self.is_running = False
        return Process(
            self.member_id,
            self.port,
            born_ms(now_s),
            list(self.log) if keeps_log else [EMPTY],
            term=self.term if keeps_log else 0,
            has_lost_log=self.has_lost_log or not keeps_log,
        )


def born_ms(now_s: float) -> int:
    """Return the time of a start; never 0."""
    return round(now_s * _MS_PER_S) + 1
