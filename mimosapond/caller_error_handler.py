"""JSON answers for HTTP requests that match no operation of callers.

The error pages of tornado are HTML, which clients of this interface can't
parse.
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
    """Base class of the handlers of the callers' listener."""

    # Set once the body is decoded, for the answer to an internal error.
    request_id = ''

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors that tornado detects and exceptions of handlers."""
        if status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # The operation may have begun, so the outcome is unknown.
            problem = 'the host had an internal error.'
            self.finish_json(
                status_code,
                codec.encode(unknown(self.request_id, problem)),
            )
            return
        refused = self._refuse(status_code)
        self.finish_json(status_code, codec.encode(refused))

    def log_exception(self, *error: Any) -> None:
        """Log unexpected exceptions; HTTP errors only get an answer."""
        if isinstance(error[1], HTTPError):
            return
        logger.opt(exception=error).bind(
            path=self.request.path,
            request_id=self.request_id,
        ).error('caller_request_failed')

    def finish_json(self, status: int, body: Mapping[str, Any]) -> None:
        """Send a JSON body with ``status`` and finish the request."""
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
    """Handler of all paths that no route matches."""

    def data_received(self, chunk: bytes) -> None:
        """Discard the body, so that the connection stays usable."""

    async def get(self) -> None:
        """Answer once the body was read.

        An answer that is sent earlier would close the connection.
        """
        self.send_error(HTTPStatus.NOT_FOUND)

    head = get
    post = get
    delete = get
    patch = get
    put = get
    options = get
