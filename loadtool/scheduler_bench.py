"""Measures the scheduler's own cost per statement.

Run as ``python -m loadtool.scheduler_bench``. A statement is one arrival and
one release while the queue keeps its length; logging and sockets are left out.
"""

import random
import sys
import time
from typing import Final

from mimosapond.decision_log import NullDecisionLog
from mimosapond.member_address import MemberAddress
from mimosapond.member_scheduler import MemberScheduler
from mimosapond.metrics import NullMetrics
from mimosapond.options import Options
from mimosapond.scheduled_work import ScheduledWork
from mimosapond.work_claim import WorkClaim
from mimosapond.work_class import WorkClass
from mimosapond.work_decisions import WorkDecisions
from mimosapond.work_state import WorkState
from mimosapond.work_ticket import WorkTicket

_QUEUE_LENGTHS: Final = (0, 10, 100, 1000)
_STATEMENT_COUNT: Final = 20_000
_WORKSPACE_COUNT: Final = 40
_SLOT_COUNT: Final = 2
_SEED: Final = 7
_NS_PER_US: Final = 1000
_STEP_S: Final = 0.001
# Long enough that nothing expires or is refused during the run.
_SHORTEST_DEADLINE_S: Final = 60
_LONGEST_DEADLINE_S: Final = 300
_LONG_SHARE: Final = 0.02
_HEADING: Final = 'queue length   mean us   p99 us   length at the end\n'
_ROW: Final = '{0:12d} {1:9.1f} {2:8.1f} {3:19d}\n'


class SchedulerBench:
    """Keeps one scheduler at a constant queue length."""

    def __init__(self) -> None:
        """Build a scheduler without logging."""
        self._random = random.Random(_SEED)
        self._now_s = float(0)
        self._started: list[ScheduledWork] = []
        self._waiting: list[ScheduledWork] = []
        member = MemberAddress('bench', 'dc', '127.0.0.1:1', _SLOT_COUNT)
        options = Options('bench', 'dc', '', '', '', '')
        decisions = WorkDecisions('bench', NullDecisionLog(), NullMetrics())
        self._scheduler = MemberScheduler(member, options, decisions)

    def measure_us(self, queue_length: int) -> tuple[float, float, int]:
        """Return mean and 99th percentile in us, and the final length."""
        while len(self._started) < _SLOT_COUNT:
            self._offer(self._build_ticket())
        while self._scheduler.queue_length_count < queue_length:
            self._offer(self._build_ticket())
        costs_us = sorted(self._run_one() for _ in range(_STATEMENT_COUNT))
        return (
            sum(costs_us) / _STATEMENT_COUNT,
            costs_us[_STATEMENT_COUNT * 99 // 100],
            self._scheduler.queue_length_count,
        )

    def _run_one(self) -> float:
        ticket = self._build_ticket()
        self._now_s += _STEP_S
        ended = self._started.pop(0)
        begun_ns = time.perf_counter_ns()
        self._scheduler.finish(ended, ended, self._now_s)
        work = self._scheduler.offer(ticket, WorkClaim.SINGLE, self._now_s)
        spent_ns = time.perf_counter_ns() - begun_ns
        self._waiting.append(work)
        self._collect_started()
        return spent_ns / _NS_PER_US

    def _offer(self, ticket: WorkTicket) -> None:
        work = self._scheduler.offer(ticket, WorkClaim.SINGLE, self._now_s)
        self._waiting.append(work)
        self._collect_started()

    def _collect_started(self) -> None:
        if len(self._started) == _SLOT_COUNT:
            return
        self._started += [
            work for work in self._waiting if work.state is WorkState.RUNNING
        ]
        self._waiting = [
            work for work in self._waiting if work.state is WorkState.WAITING
        ]

    def _build_ticket(self) -> WorkTicket:
        deadline_s = self._random.uniform(
            _SHORTEST_DEADLINE_S, _LONGEST_DEADLINE_S
        )
        return WorkTicket(
            request_id='bench',
            work_class=self._random.choice(tuple(WorkClass)),
            workspace=str(self._random.randrange(_WORKSPACE_COUNT)),
            deadline_s=self._now_s + deadline_s,
            fingerprint='bench',
            connection_limit_count=1,
            is_long=self._random.random() < _LONG_SHARE,
        )


def main() -> None:
    """Print the cost at each queue length as a table."""
    sys.stdout.write(_HEADING)
    for queue_length in _QUEUE_LENGTHS:
        figures = SchedulerBench().measure_us(queue_length)
        sys.stdout.write(_ROW.format(queue_length, *figures))


if __name__ == '__main__':
    main()
