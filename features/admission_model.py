"""Seeded model of hosts that share one member, in virtual time.

The member has slots, a queue and service times with a heavy tail. Members in
the model answer as the wire does; connections are left out.
"""

import asyncio
import math
import random
from typing import Final, final

import attrs

from features.virtual_loop import run_virtually
from mimosapond.groups.admission_request import AdmissionRequest, NotAdmitted
from mimosapond.groups.concurrency_limit import ConcurrencyLimit
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_admission import MemberAdmission
from mimosapond.groups.member_answer import (
    Completed,
    LinkLost,
    MemberAnswer,
    Rejected,
    RejectionKind,
)
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.statement_class import StatementClass
from mimosapond.statements.reply import SessionState

_POSITION: Final = LogPosition(1, 10)
# Spread of the service times (the standard deviation of their logarithm), and
# their bound.
_SPREAD: Final = 0.8
_MAX_SERVICE_S: Final = 0.3
# Time in which the member refuses a statement, and in which a connection to a
# member that is down fails.
_REFUSAL_S: Final = 0.001
_MAX_CONNECTION_COUNT: Final = 10
_SEED: Final = 7


@final
@attrs.define
class ModelMember:
    """A member whose state tests change at given times."""

    slot_count: int
    random: random.Random
    queue_length_count: int = 40
    slowness: float = 1
    refusal_ratio: float = 0
    is_down: bool = False
    busy_s: float = 0
    rejected_count: int = 0
    asked_count: int = 0
    _waiting_count: int = 0
    _slots: asyncio.Semaphore = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the slots."""
        self._slots = asyncio.Semaphore(self.slot_count)

    async def run(self, mean_s: float) -> MemberAnswer:
        """Run a statement with a random service time."""
        self.asked_count += 1
        await asyncio.sleep(_REFUSAL_S)
        if self.is_down:
            return LinkLost('down')
        if self.random.random() < self.refusal_ratio or (
            self._waiting_count >= self.queue_length_count
        ):
            self.rejected_count += 1
            return Rejected(RejectionKind.busy, 'busy', SessionState.idle, None)
        self._waiting_count += 1
        async with self._slots:
            self._waiting_count -= 1
            service_s = self._service_s(mean_s) * self.slowness
            self.busy_s += service_s
            await asyncio.sleep(service_s)
        return Completed((), 'signed', SessionState.idle, _POSITION)

    def _service_s(self, mean_s: float) -> float:
        centre = math.log(mean_s) - _SPREAD**2 / 2
        return min(self.random.lognormvariate(centre, _SPREAD), _MAX_SERVICE_S)


@final
@attrs.frozen
class Stream:
    """Statements of one workspace with one priority, as a Poisson process."""

    workspace: str
    priority: int
    rate_per_s: float
    mean_s: float
    timeout_s: float
    start_s: float
    end_s: float


@final
@attrs.frozen
class Result:
    """What became of one statement.

    Parameters
    ----------
    wait_s
        Until it was admitted or refused.
    """

    stream: Stream
    arrived_s: float
    wait_s: float
    duration_s: float
    is_served: bool


@final
class ModelHosts:
    """Hosts that each admit statements to the one member."""

    def __init__(
        self, member: ModelMember, host_count: int, *, is_limited: bool = True
    ) -> None:
        """Create hosts; without a limit, they send every statement at once."""
        self.member = member
        self.results: list[Result] = []
        self.loads = [MemberLoad(_now) for _ in range(host_count)]
        self.admissions = [self._build(load) for load in self.loads]
        self._is_limited = is_limited
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def limit_count(self) -> int:
        """Sum of the limits of all hosts."""
        return sum(each.limit.count for each in self.admissions)

    async def run(self, streams: list[Stream]) -> None:
        """Send all statements and wait for their results."""
        arrivals = sorted(
            (arrived_s, number)
            for number, stream in enumerate(streams)
            for arrived_s in self._arrivals_s(stream)
        )
        for arrived_s, number in arrivals:
            await asyncio.sleep(max(arrived_s - _now(), 0))
            host = self.member.random.randrange(len(self.admissions))
            task = asyncio.create_task(self.send(streams[number], host))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def send(self, stream: Stream, host: int = 0) -> None:
        """Send one statement through a host and record its result."""
        arrived_s = _now()
        admission = self.admissions[host]
        request = AdmissionRequest(
            StatementClass(stream.priority),
            stream.workspace,
            arrived_s + stream.timeout_s,
        )
        if not self._is_limited:
            answer = await self.member.run(stream.mean_s)
            self._record(stream, arrived_s, 0, answer)
            return
        permit = await admission.admit(request)
        wait_s = _now() - arrived_s
        if isinstance(permit, NotAdmitted):
            self._record(stream, arrived_s, wait_s, permit)
            return
        permit.start()
        entry = self.loads[host].start(is_write=False)
        answer = await self.member.run(stream.mean_s)
        self.loads[host].finish(entry)
        permit.record(answer)
        permit.release()
        if isinstance(answer, LinkLost):
            admission.restart()
        self._record(stream, arrived_s, wait_s, answer)

    def _record(
        self,
        stream: Stream,
        arrived_s: float,
        wait_s: float,
        outcome: MemberAnswer | NotAdmitted,
    ) -> None:
        duration_s = _now() - arrived_s
        is_in_time = duration_s <= stream.timeout_s
        self.results.append(
            Result(
                stream,
                arrived_s,
                wait_s,
                duration_s,
                isinstance(outcome, Completed) and is_in_time,
            )
        )

    def _arrivals_s(self, stream: Stream) -> list[float]:
        arrivals_s = []
        at_s = stream.start_s
        while True:
            at_s += self.member.random.expovariate(stream.rate_per_s)
            if at_s >= stream.end_s:
                return arrivals_s
            arrivals_s.append(at_s)

    def _build(self, load: MemberLoad) -> MemberAdmission:
        limit = ConcurrencyLimit(_now())
        limit.max_count = _MAX_CONNECTION_COUNT
        return MemberAdmission('m', limit, load, _now)


@final
@attrs.frozen
class Sample:
    """State of the model at one time.

    Parameters
    ----------
    busy_s
        Time in which slots were busy until then.
    limit_count
        Sum of the limits of all hosts.
    """

    busy_s: float
    limit_count: int


@final
@attrs.frozen
class ModelRun:
    """The hosts after a run, with their results, and samples of it."""

    hosts: ModelHosts
    samples: list[Sample]


def run_model(
    streams: list[Stream],
    slot_count: int,
    host_count: int,
    changes: list[tuple[float, str, float]],
    *,
    is_limited: bool = True,
) -> ModelRun:
    """Run streams against a member that changes.

    Parameters
    ----------
    changes
        Time in seconds, attribute of the member, and its value from then on.

    Returns
    -------
    ModelRun
        The results, and a sample for each tenth of a second.
    """
    return run_virtually(
        _run(streams, slot_count, host_count, changes, is_limited)
    )


async def _run(
    streams: list[Stream],
    slot_count: int,
    host_count: int,
    changes: list[tuple[float, str, float]],
    is_limited: bool,
) -> ModelRun:
    member = ModelMember(slot_count, random.Random(_SEED))
    random.seed(_SEED)
    hosts = ModelHosts(member, host_count, is_limited=is_limited)
    loop = asyncio.get_running_loop()
    for at_s, name, value in changes:
        loop.call_at(at_s, setattr, member, name, value)
    samples: list[Sample] = []
    sampling = asyncio.create_task(_sample(hosts, samples))
    await hosts.run(streams)
    sampling.cancel()
    return ModelRun(hosts, samples)


async def _sample(hosts: ModelHosts, samples: list[Sample]) -> None:
    while True:
        member = hosts.member
        samples.append(Sample(member.busy_s, hosts.limit_count))
        await asyncio.sleep(0.1)


def _now() -> float:
    return asyncio.get_running_loop().time()
