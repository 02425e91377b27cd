"""Sends requests of sessions and records their answers in the history."""

import time
from collections.abc import Sequence
from typing import Any, Final, final

import attrs

from loadtool.caller_client import CallerClient, has_no_answer
from loadtool.deployed_host import DeployedHost
from loadtool.history import History
from loadtool.history_record import HistoryRecord, RequestKind, Result
from loadtool.workload_statements import (
    parse_nonce,
    parse_pair,
    parse_sequences,
)
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
class LogicalWrite:
    """A write that may be sent several times with the same request id.

    Attributes
    ----------
    mark
        Unique value that identifies the write in the log.
    sequence
        Number of the write in its session, starting at 1.
    part_count
        Number of statements of the write that are logged.
    steps
        Statements of each call. A transaction has several steps, any other
        write has one.
    """

    request: StatementRequest
    mark: str
    group: str
    session: str
    sequence: int
    part_count: int
    steps: tuple[tuple[Statement, ...], ...]


@final
class RecordingClient:
    """Sends the requests of all sessions through one client."""

    def __init__(
        self,
        client: CallerClient,
        history: History,
        hosts: Sequence[DeployedHost],
    ) -> None:
        """Record the answers in ``history``.

        Parameters
        ----------
        client
            Sends the requests.
        history
            Receives a record for each request.
        hosts
            Hosts to try in turn when an open transaction must be rolled back.
        """
        self._client = client
        self._history = history
        self._hosts = hosts

    async def write(
        self,
        host: DeployedHost,
        write: LogicalWrite,
    ) -> HistoryRecord:
        """Make one attempt of a write with a single step."""
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
        write: LogicalWrite,
        *,
        is_committed: bool,
    ) -> HistoryRecord:
        """Run an interactive transaction and end it.

        It is committed if ``is_committed`` is set, and rolled back otherwise.
        """
        sent_s = time.monotonic()
        request = attrs.evolve(write.request, statements=write.steps[0])
        outcome = await self._client.begin(host.caller_address, request)
        nonces = _nonces(outcome, len(write.steps[0]))
        last_sent_s = sent_s
        if isinstance(outcome, Completed) and outcome.transaction_id:
            transaction_id = outcome.transaction_id
            outcome, step_nonces = await self._run_steps(
                host, write, transaction_id
            )
            nonces += step_nonces
            last_sent_s = time.monotonic()
            if isinstance(outcome, Completed):
                operation = 'commit' if is_committed else 'rollback'
                outcome = await self._call(
                    host, write, transaction_id, operation
                )
            if not isinstance(outcome, Completed):
                await self._roll_back(write, transaction_id)
        record = self._record_write(
            RequestKind.TRANSACTION,
            host,
            write,
            outcome,
        )
        is_rolled_back = not is_committed and record.outcome is Result.COMPLETED
        return self._add(
            attrs.evolve(
                record,
                sent_s=sent_s,
                last_sent_s=last_sent_s,
                nonces=nonces,
                outcome=Result.ROLLED_BACK
                if is_rolled_back
                else record.outcome,
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
        """Send a read and record the data that it returned."""
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
            **self._answer_fields(request.request_id, outcome),
        )
        if not isinstance(outcome, Completed):
            return self._add(record)
        return self._add(
            _with_read_data(record, outcome, len(request.statements)),
        )

    async def settle(
        self,
        host: DeployedHost,
        write: LogicalWrite,
    ) -> HistoryRecord:
        """Query the outcome of ``write``."""
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
        write: LogicalWrite,
        transaction_id: str,
    ) -> tuple[Outcome, tuple[str, ...]]:
        nonces: tuple[str, ...] = ()
        outcome: Outcome = unknown(
            write.request.request_id, 'the transaction has no further step'
        )
        for step in write.steps[1:]:
            outcome = await self._call(
                host, write, transaction_id, 'statements', step
            )
            if not isinstance(outcome, Completed):
                break
            nonces += _nonces(outcome, len(step))
        return outcome, nonces

    async def _roll_back(
        self, write: LogicalWrite, transaction_id: str
    ) -> None:
        """Roll back a transaction that may still be open.

        An open transaction would block other writes with its lock. The
        rollback has no effect if the transaction has ended or its commit is in
        flight.
        """
        for host in self._hosts:
            outcome = await self._call(host, write, transaction_id, 'rollback')
            if not has_no_answer(outcome):
                return

    async def _call(
        self,
        host: DeployedHost,
        write: LogicalWrite,
        transaction_id: str,
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
            transaction_id,
            operation,
            call,
        )

    def _record_write(
        self,
        kind: RequestKind,
        host: DeployedHost,
        write: LogicalWrite,
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
            **self._answer_fields(write.request.request_id, outcome),
        )

    def _answer_fields(
        self, request_id: str, outcome: Outcome
    ) -> dict[str, Any]:
        fields: dict[str, Any] = {
            'request_id': request_id,
            'answered_s': time.monotonic(),
            'outcome': Result(outcome.outcome),
            'is_broken': has_no_answer(outcome),
        }
        match outcome:
            case Refused(reason=reason):
                return {**fields, 'reason': str(reason)}
            case Completed():
                return {
                    **fields,
                    'token': outcome.token,
                    'member': outcome.member,
                    'is_replayed': outcome.replayed,
                    'data_age_ms': outcome.data_age_ms,
                }
            case _:
                return {**fields, 'reason': outcome.message}


def _nonces(outcome: Outcome, statement_count: int) -> tuple[str, ...]:
    if isinstance(outcome, Completed):
        return parse_nonce(outcome.results, statement_count)
    return ()


def _with_read_data(
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
