"""Checks of requests that go beyond the types of their fields."""

import reprlib
from collections.abc import Iterator, Sequence
from typing import Final, final

from mimosapond.access_mode import AccessMode
from mimosapond.clock import Clock
from mimosapond.errors import refuse
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_id import RequestId
from mimosapond.statement_faults import statement_faults
from mimosapond.statement import Statement
from mimosapond.statement_request import StatementRequest
from mimosapond.token import Token
from mimosapond.transaction_call import TransactionCall

DEADLINE_LIMIT_MS: Final = 24 * 60 * 60 * 1000
NAME_LIMIT_CHARS: Final = 200


@final
class RequestValidator:
    """Finds faults in requests before any part of them runs."""

    def __init__(self, clock: Clock) -> None:
        """Use ``clock`` to tell the age of request ids."""
        self._clock = clock

    def check(self, request: StatementRequest) -> Refused | None:
        """Return the refusal for the first fault, None when valid."""
        return next(self._refusals(request), None)

    def check_call(self, call: TransactionCall) -> Refused | None:
        """Return the refusal for the first fault, None when valid."""
        fault = self.check_request_id(call.request_id)
        if fault is not None:
            return fault
        if not 0 < call.deadline_ms <= DEADLINE_LIMIT_MS:
            return _refuse_field(
                'deadline_ms', f'expected 1 to {DEADLINE_LIMIT_MS}'
            )
        return next(_statement_refusals(call.statements), None)

    def check_request_id(self, text: str) -> Refused | None:
        """Return the refusal for a request id, None when it is valid."""
        request_id = RequestId.parse(text)
        if request_id is None:
            return refuse(
                RefusalReason.BAD_FIELD,
                field='request_id',
                problem=(
                    'expected <unix milliseconds>.<16 to 64 url-safe '
                    f'characters>, got {reprlib.repr(text)}'
                ),
            )
        now_unix_ms = self._clock.unix_ms()
        if request_id.is_expired(now_unix_ms):
            return refuse(
                RefusalReason.REQUEST_EXPIRED,
                problem='older than the retention of 24 h',
            )
        if request_id.is_in_future(now_unix_ms):
            return refuse(
                RefusalReason.REQUEST_EXPIRED,
                problem='more than 5 min in the future',
            )
        return None

    def _refusals(self, request: StatementRequest) -> Iterator[Refused]:
        id_refusal = self.check_request_id(request.request_id)
        if id_refusal is not None:
            yield id_refusal
        yield from _range_refusals(request)
        yield from _statement_refusals(request.statements)
        if request.token is not None and Token.parse(request.token) is None:
            yield refuse(
                RefusalReason.BAD_TOKEN,
                problem='expected <group>:<term>:<position>',
            )


def _range_refusals(request: StatementRequest) -> Iterator[Refused]:
    deadline_ms = request.deadline_ms
    if deadline_ms is not None and not 0 < deadline_ms <= DEADLINE_LIMIT_MS:
        yield _refuse_field('deadline_ms', f'expected 1 to {DEADLINE_LIMIT_MS}')
    if request.max_age_ms is not None and request.max_age_ms < 0:
        yield _refuse_field('max_age_ms', 'expected 0 or more')
    session_id = request.session_id
    if session_id is not None and not 0 < len(session_id) <= NAME_LIMIT_CHARS:
        yield _refuse_field(
            'session_id', f'expected 1 to {NAME_LIMIT_CHARS} characters'
        )
    if request.mode is AccessMode.READ and request.durability is not None:
        yield _refuse_field('durability', 'applies to writes only')
    if request.mode is AccessMode.WRITE and request.max_age_ms is not None:
        yield _refuse_field('max_age_ms', 'applies to reads only')


def _statement_refusals(statements: Sequence[Statement]) -> Iterator[Refused]:
    for fault in statement_faults(statements):
        yield _refuse_field(fault.field, fault.problem)


def _refuse_field(field: str, problem: str) -> Refused:
    return refuse(RefusalReason.BAD_FIELD, field=field, problem=problem)
