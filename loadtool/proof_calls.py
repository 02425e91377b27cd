"""Makes single calls of a session and records them."""

import time
from collections.abc import Sequence
from typing import Any, Final, final

import attrs

from loadtool.caller_client import CallerClient, has_no_answer
from loadtool.deployed_host import DeployedHost
from loadtool.history import History
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.proof_statements import parse_nonce, parse_pair, parse_sequences
from mimosapond.completed import Completed
from mimosapond.errors import unknown
from mimosapond.outcome import Outcome
from mimosapond.outcome_query import OutcomeQuery
from mimosapond.refused import Refused
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.transaction_call import TransactionCall

_SETTLE_DEADLINE_MS: Final = 3000


@final
@attrs.frozen
class ProofWrite:
    """One logical write, which may be tried several times.

    Attributes
    ----------
    steps
        Statements of each call; one-request writes have one step.
    """

    request: StatementRequest
    mark: str
    group: str
    session: str
    sequence: int
    part_count: int
    steps: tuple[tuple[Statement, ...], ...]


@final
class ProofCalls:
    """Calls of all sessions through one client."""

    def __init__(
        self,
        client: CallerClient,
        history: History,
        hosts: Sequence[DeployedHost],
    ) -> None:
        """Record into ``history``; ``hosts`` are tried after a failure."""
        self._client = client
        self._history = history
        self._hosts = hosts

    async def write(
        self,
        host: DeployedHost,
        write: ProofWrite,
    ) -> HistoryRecord:
        """Make one try of a one-request write."""
        sent_s = time.monotonic()
        request = attrs.evolve(write.request, statements=write.steps[0])
        outcome = await self._client.run(host.caller_address, request)
        record = self._record_write(RequestKind.WRITE, host, write, outcome)
        nonces = _nonces(outcome, len(write.steps[0]))
        return self._add(
            attrs.evolve(
                record,
                sent_s=sent_s,
                last_sent_s=sent_s,
                nonces=nonces,
            ),
        )

    async def transact(
        self,
        host: DeployedHost,
        write: ProofWrite,
        *,
        is_kept: bool,
    ) -> HistoryRecord:
        """Run an interactive transaction; roll back unless it is kept."""
        sent_s = time.monotonic()
        request = attrs.evolve(write.request, statements=write.steps[0])
        outcome = await self._client.begin(host.caller_address, request)
        nonces = _nonces(outcome, len(write.steps[0]))
        last_sent_s = sent_s
        if isinstance(outcome, Completed) and outcome.transaction_id:
            name = outcome.transaction_id
            outcome, more = await self._run_steps(host, write, name)
            nonces += more
            last_sent_s = time.monotonic()
            if isinstance(outcome, Completed):
                operation = 'commit' if is_kept else 'rollback'
                outcome = await self._call(host, write, name, operation)
            if not isinstance(outcome, Completed):
                await self._roll_back(write, name)
        record = self._record_write(
            RequestKind.TRANSACTION,
            host,
            write,
            outcome,
        )
        is_undone = not is_kept and record.outcome is Result.COMPLETED
        return self._add(
            attrs.evolve(
                record,
                sent_s=sent_s,
                last_sent_s=last_sent_s,
                nonces=nonces,
                outcome=Result.ROLLED_BACK if is_undone else record.outcome,
            ),
        )

    async def read(
        self,
        host: DeployedHost,
        group: str,
        session: str,
        nonce: str,
        request: StatementRequest,
    ) -> HistoryRecord:
        """Make a read and note what it showed."""
        sent_s = time.monotonic()
        outcome = await self._client.run(host.caller_address, request)
        record = HistoryRecord(
            kind=RequestKind.READ,
            group=group,
            session=session,
            host=host.name,
            sent_s=sent_s,
            last_sent_s=sent_s,
            mark=nonce,
            sent_token=request.token,
            by_session=request.session_id is not None,
            max_age_ms=request.max_age_ms,
            **self._told(request.request_id, outcome),
        )
        if not isinstance(outcome, Completed):
            return self._add(record)
        return self._add(
            _with_rows(record, outcome, len(request.statements)),
        )

    async def settle(
        self,
        host: DeployedHost,
        write: ProofWrite,
    ) -> HistoryRecord:
        """Ask for the outcome of ``write``."""
        sent_s = time.monotonic()
        query = OutcomeQuery(
            service=write.request.service,
            workspace=write.request.workspace,
            request_id=write.request.request_id,
            deadline_ms=_SETTLE_DEADLINE_MS,
        )
        outcome = await self._client.settle(host.caller_address, query)
        record = self._record_write(RequestKind.SETTLE, host, write, outcome)
        nonces: tuple[str, ...] = ()
        if isinstance(outcome, Completed) and outcome.results:
            nonces = parse_nonce(outcome.results, len(write.steps[0]))
        return self._add(
            attrs.evolve(
                record,
                sent_s=sent_s,
                last_sent_s=sent_s,
                nonces=nonces,
            ),
        )

    def _add(self, record: HistoryRecord) -> HistoryRecord:
        self._history.add(record)
        return record

    async def _run_steps(
        self,
        host: DeployedHost,
        write: ProofWrite,
        name: str,
    ) -> tuple[Outcome, tuple[str, ...]]:
        nonces: tuple[str, ...] = ()
        outcome: Outcome = unknown(write.request.request_id, 'it has no step')
        for step in write.steps[1:]:
            outcome = await self._call(host, write, name, 'statements', step)
            if not isinstance(outcome, Completed):
                break
            nonces += _nonces(outcome, len(step))
        return outcome, nonces

    async def _roll_back(self, write: ProofWrite, name: str) -> None:
        """End a transaction that may be open; others wait for its lock.

        It has no effect on one that ended, or whose commit is under way.
        """
        for host in self._hosts:
            outcome = await self._call(host, write, name, 'rollback')
            if not has_no_answer(outcome):
                return

    async def _call(
        self,
        host: DeployedHost,
        write: ProofWrite,
        name: str,
        operation: str,
        step: tuple[Statement, ...] = (),
    ) -> Outcome:
        call = TransactionCall(
            request_id=write.request.request_id,
            deadline_ms=write.request.deadline_ms or 0,
            statements=step,
        )
        return await self._client.transact(
            host.caller_address,
            name,
            operation,
            call,
        )

    def _record_write(
        self,
        kind: RequestKind,
        host: DeployedHost,
        write: ProofWrite,
        outcome: Outcome,
    ) -> HistoryRecord:
        return HistoryRecord(
            kind=kind,
            group=write.group,
            session=write.session,
            host=host.name,
            sent_s=0,
            last_sent_s=0,
            mark=write.mark,
            sequence=write.sequence,
            part_count=write.part_count,
            durability=str(write.request.required_durability),
            **self._told(write.request.request_id, outcome),
        )

    def _told(self, request_id: str, outcome: Outcome) -> dict[str, Any]:
        told: dict[str, Any] = {
            'request_id': request_id,
            'answered_s': time.monotonic(),
            'outcome': Result(outcome.outcome),
            'is_broken': has_no_answer(outcome),
        }
        match outcome:
            case Refused(reason=reason):
                return {**told, 'reason': str(reason)}
            case Completed():
                return {
                    **told,
                    'token': outcome.token,
                    'member': outcome.member,
                    'is_replayed': outcome.replayed,
                    'data_age_ms': outcome.data_age_ms,
                }
            case _:
                return {**told, 'reason': outcome.message}


def _nonces(outcome: Outcome, statement_count: int) -> tuple[str, ...]:
    if isinstance(outcome, Completed):
        return parse_nonce(outcome.results, statement_count)
    return ()


def _with_rows(
    record: HistoryRecord,
    outcome: Completed,
    statement_count: int,
) -> HistoryRecord:
    nonces = parse_nonce(outcome.results, statement_count)
    if nonces != (record.mark,):
        return attrs.evolve(record, nonces=nonces)
    return attrs.evolve(
        record,
        nonces=nonces,
        sequences=parse_sequences(outcome.results),
        pair=parse_pair(outcome.results),
    )
