"""Typed JSON answers for requests that no operation of callers takes.

tornado's own error pages are HTML, which a client of this interface can't
read.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, final

from loguru import logger
from tornado.web import HTTPError, RequestHandler, stream_request_body

from mimosapond import codec
from mimosapond.errors import refuse, unknown
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused


class CallerErrorHandler(RequestHandler):
    """Base of the handlers of the callers' listener."""

    # Known once the body was read; an internal error names it.
    request_id = ''

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer for errors that tornado found, or faults of this program."""
        if status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # The operation may have begun, so this is no refusal.
            problem = 'the host met an internal error.'
            self.finish_json(
                status_code,
                codec.encode(unknown(self.request_id, problem)),
            )
            return
        refused = self._refuse(status_code)
        self.finish_json(status_code, codec.encode(refused))

    def log_exception(self, *error: Any) -> None:
        """Log faults of this program; the answer tells all others."""
        if isinstance(error[1], HTTPError):
            return
        logger.opt(exception=error).bind(
            path=self.request.path,
            request_id=self.request_id,
        ).error('caller_request_failed')

    def finish_json(self, status: int, body: Mapping[str, Any]) -> None:
        """Finish with a JSON body."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(codec.dump_json(body))

    def _refuse(self, status_code: int) -> Refused:
        match status_code:
            case HTTPStatus.NOT_FOUND:
                field, problem = 'path', f'there is no {self.request.path}.'
            case HTTPStatus.METHOD_NOT_ALLOWED:
                self.set_header('Allow', 'POST')
                field, problem = 'method', 'use POST.'
            case _:
                phrase = HTTPStatus(status_code).phrase
                field, problem = 'request', f'{phrase}.'
        return refuse(RefusalReason.BAD_FIELD, field=field, problem=problem)


@final
@stream_request_body
class UnknownPathHandler(CallerErrorHandler):
    """Any path that is not in the table of routes."""

    def data_received(self, chunk: bytes) -> None:
        """Drop the body; the connection stays usable after it was read."""

    async def get(self) -> None:
        """Answer after the body: an earlier answer ends the connection."""
        self.send_error(HTTPStatus.NOT_FOUND)

    head = get
    post = get
    delete = get
    patch = get
    put = get
    options = get
