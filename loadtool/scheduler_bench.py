"""Measures the time that the scheduler needs per statement.

Run with ``python -m loadtool.scheduler_bench``. For each statement, one running
statement finishes and one new statement arrives, so that the queue keeps its
length. Logging and sockets are left out.
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
_CLOCK_STEP_S: Final = 0.001
# The deadlines are so long that no statement expires or is refused.
_SHORTEST_DEADLINE_S: Final = 60
_LONGEST_DEADLINE_S: Final = 300
_LONG_RATIO: Final = 0.02
_TABLE_HEADER: Final = 'queue length   mean us   p99 us   length at the end\n'
_TABLE_ROW: Final = '{0:12d} {1:9.1f} {2:8.1f} {3:19d}\n'


class SchedulerBench:
    """Runs statements through one scheduler at a constant queue length."""

    def __init__(self) -> None:
        """Build a scheduler that neither logs nor writes metrics."""
        self._random = random.Random(_SEED)
        self._now_s = float(0)
        self._running: list[ScheduledWork] = []
        self._waiting: list[ScheduledWork] = []
        member = MemberAddress('bench', 'dc', '127.0.0.1:1', _SLOT_COUNT)
        options = Options('bench', 'dc', '', '', '', '')
        decisions = WorkDecisions('bench', NullDecisionLog(), NullMetrics())
        self._scheduler = MemberScheduler(member, options, decisions)

    def measure_us(self, queue_length: int) -> tuple[float, float, int]:
        """Return the cost per statement at a queue length.

        Returns
        -------
        tuple[float, float, int]
            Mean and 99th percentile in microseconds, and the queue length
            after the last statement.
        """
        while len(self._running) < _SLOT_COUNT:
            self._offer(self._build_ticket())
        while self._scheduler.queue_length_count < queue_length:
            self._offer(self._build_ticket())
        costs_us = sorted(
            self._run_statement_us() for _ in range(_STATEMENT_COUNT)
        )
        return (
            sum(costs_us) / _STATEMENT_COUNT,
            costs_us[_STATEMENT_COUNT * 99 // 100],
            self._scheduler.queue_length_count,
        )

    def _run_statement_us(self) -> float:
        ticket = self._build_ticket()
        self._now_s += _CLOCK_STEP_S
        finished = self._running.pop(0)
        started_ns = time.perf_counter_ns()
        self._scheduler.finish(finished, finished, self._now_s)
        work = self._scheduler.offer(ticket, WorkClaim.SINGLE, self._now_s)
        elapsed_ns = time.perf_counter_ns() - started_ns
        self._waiting.append(work)
        self._collect_running()
        return elapsed_ns / _NS_PER_US

    def _offer(self, ticket: WorkTicket) -> None:
        work = self._scheduler.offer(ticket, WorkClaim.SINGLE, self._now_s)
        self._waiting.append(work)
        self._collect_running()

    def _collect_running(self) -> None:
        if len(self._running) == _SLOT_COUNT:
            return
        self._running += [
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
            is_long=self._random.random() < _LONG_RATIO,
        )


def main() -> None:
    """Print the cost at each queue length as a table."""
    sys.stdout.write(_TABLE_HEADER)
    for queue_length in _QUEUE_LENGTHS:
        costs = SchedulerBench().measure_us(queue_length)
        sys.stdout.write(_TABLE_ROW.format(queue_length, *costs))


if __name__ == '__main__':
    main()
