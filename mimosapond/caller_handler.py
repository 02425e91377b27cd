"""HTTP handler of the operations of callers.

A body over the limit is read and discarded, so that the caller gets a JSON
answer and can keep its connection.
"""

import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any, Final, Never, TypeAlias, final

import cattrs
from tornado.web import stream_request_body

from mimosapond import codec
from mimosapond.caller_error_handler import CallerErrorHandler
from mimosapond.errors import refuse
from mimosapond.field_faults import BODY_FIELD, field_faults
from mimosapond.in_flight import InFlight
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown

CallerOperation: TypeAlias = Callable[[Any, str], Awaitable[Outcome]]

_OK: Final = 200
_BAD_REQUEST: Final = 400
_TOO_LARGE: Final = 413
_UNAVAILABLE: Final = 503
_GATEWAY_TIMEOUT: Final = 504
# Reasons that are answered with status 400.
_BAD_REQUEST_REASONS: Final = frozenset(
    (
        RefusalReason.BAD_FIELD,
        RefusalReason.BAD_TOKEN,
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.UNKNOWN_WORKSPACE,
        RefusalReason.REQUEST_EXPIRED,
        RefusalReason.SQL_ERROR,
    )
)


@final
@stream_request_body
class CallerHandler(CallerErrorHandler):
    """Decodes a body, runs one operation and writes its outcome."""

    def initialize(
        self,
        model: type,
        operation: CallerOperation,
        limit_bytes: int,
        in_flight: InFlight,
    ) -> None:
        """Set what the route serves.

        Parameters
        ----------
        model
            Data class of the body.
        operation
            Called with the decoded body and the variable part of the path.
        limit_bytes
            Maximum size of a body.
        in_flight
            Counter of the requests being served.
        """
        self._model = model
        self._operation = operation
        self._limit_bytes = limit_bytes
        self._in_flight = in_flight
        self._received_bytes = 0
        self._chunks: list[bytes] = []
        self._upload = contextlib.ExitStack()

    def prepare(self) -> None:
        """Count the request as soon as its headers arrive.

        A graceful stop then waits for uploads as well.
        """
        self._upload.enter_context(self._in_flight.request())

    def on_finish(self) -> None:
        """Stop counting the request."""
        self._upload.close()

    def on_connection_close(self) -> None:
        """Stop counting an upload that was interrupted."""
        self._upload.close()

    def data_received(self, chunk: bytes) -> None:
        """Collect the body; discard all of it once it exceeds the limit."""
        self._received_bytes += len(chunk)
        if self._received_bytes <= self._limit_bytes:
            self._chunks.append(chunk)
        else:
            self._chunks.clear()

    async def post(self, path: str = '') -> None:
        """Run the operation and answer with its outcome."""
        with self._in_flight.request():
            body = self._decode()
            if isinstance(body, Refused):
                self._answer(body)
                return
            self.request_id = body.request_id
            self._answer(await self._operation(body, path))

    def _decode(self) -> Any:
        if self._received_bytes > self._limit_bytes:
            return refuse(
                RefusalReason.BODY_TOO_LARGE,
                limit_bytes=self._limit_bytes,
            )
        try:
            payload = json.loads(
                b''.join(self._chunks),
                parse_constant=_refuse_constant,
            )
        except ValueError as error:
            return _bad_field(BODY_FIELD, f'not JSON: {error}.')
        except RecursionError:
            return _bad_field(BODY_FIELD, 'nested too deeply.')
        if not isinstance(payload, dict):
            return _bad_field(BODY_FIELD, 'expected a JSON object.')
        try:
            return codec.decode(self._model, payload)
        except cattrs.BaseValidationError as error:
            fault = field_faults(error)[0]
            return _bad_field(fault.field, f'{fault.problem}.')

    def _answer(self, outcome: Outcome) -> None:
        if self._in_flight.is_draining:
            self.set_header('Connection', 'close')
        self.finish_json(_status(outcome), codec.encode(outcome))


def _bad_field(field: str, problem: str) -> Refused:
    return refuse(RefusalReason.BAD_FIELD, field=field, problem=problem)


def _refuse_constant(text: str) -> Never:
    # Python accepts NaN and Infinity, which are not valid JSON.
    raise ValueError(f'{text} is not a JSON value')


def _status(outcome: Outcome) -> int:
    match outcome:
        case Refused(reason=RefusalReason.BODY_TOO_LARGE):
            return _TOO_LARGE
        case Refused(reason=reason) if reason in _BAD_REQUEST_REASONS:
            return _BAD_REQUEST
        case Refused():
            return _UNAVAILABLE
        case Unknown():
            return _GATEWAY_TIMEOUT
        case _:
            return _OK
