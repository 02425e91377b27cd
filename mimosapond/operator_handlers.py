"""HTTP handlers of the operator listener.

Each answer is a JSON object whose field ``outcome`` is ``completed``,
``refused`` or ``unknown``, as on the caller listener. The command-line tool
validates documents before sending them; the host validates them again, since
other clients may send documents too.
"""

import json
from collections.abc import Mapping
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, final

import attrs
import cattrs
from loguru import logger
from tornado.web import Application, HTTPError, RequestHandler

from mimosapond.clock import MS_PER_S
from mimosapond.codec import decode, dump_json, encode
from mimosapond.document_body import document_body
from mimosapond.document_loader import parse_document
from mimosapond.errors import refuse, unknown
from mimosapond.field_faults import field_faults
from mimosapond.file_problem import InvalidFile
from mimosapond.operator_actions import OperatorActions
from mimosapond.operator_results import OperatorResult
from mimosapond.refusal_reason import RefusalReason as Reason
from mimosapond.refused import Refused
from mimosapond.secret_check import has_secret
from mimosapond.service_document import ServiceDocument
from mimosapond.unknown import Unknown

COMPLETED: Final = 'completed'
_REVISION: Final = 'revision'
_STATUSES: Final[Mapping[Reason, HTTPStatus]] = MappingProxyType(
    {
        Reason.BAD_FIELD: HTTPStatus.BAD_REQUEST,
        Reason.DOCUMENT_INVALID: HTTPStatus.BAD_REQUEST,
        Reason.UNAUTHORIZED: HTTPStatus.UNAUTHORIZED,
        Reason.UNKNOWN_SERVICE: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_TARGET: HTTPStatus.NOT_FOUND,
        Reason.UNKNOWN_GROUP: HTTPStatus.NOT_FOUND,
        Reason.DOCUMENT_CONFLICT: HTTPStatus.CONFLICT,
    }
)


@final
@attrs.frozen
class ApplyBody:
    """Body of ``PUT /v1/documents/<service>``."""

    expected_revision: int
    document: dict[str, Any]


@final
@attrs.frozen
class PromoteBody:
    """Body of ``POST /v1/groups/<group>/promote``."""

    member: str


class OperatorHandler(RequestHandler):
    """Checks the operator secret and writes JSON answers."""

    def initialize(self, actions: OperatorActions, secret: str) -> None:
        """Set the actions to call and the secret to require."""
        self.actions = actions
        self._secret = secret

    async def prepare(self) -> None:
        """Refuse the request when the secret is missing or wrong."""
        if not has_secret(self.request.headers, self._secret):
            self.answer(refuse(Reason.UNAUTHORIZED))

    def answer(self, result: OperatorResult) -> None:
        """Finish the request with the result of an action."""
        match result:
            case Refused(reason=reason):
                status = _STATUSES.get(reason, HTTPStatus.SERVICE_UNAVAILABLE)
                self._finish_json(status, encode(result))
            case Unknown():
                self._finish_json(HTTPStatus.GATEWAY_TIMEOUT, encode(result))
            case _:
                self.answer_fields(encode(result))

    def answer_fields(self, fields: Mapping[str, Any]) -> None:
        """Finish the request with the outcome ``completed`` and ``fields``."""
        self._finish_json(HTTPStatus.OK, {'outcome': COMPLETED, **fields})

    def refuse_field(self, field: str, problem: str) -> None:
        """Finish the request with a refusal that names an invalid field."""
        self.answer(refuse(Reason.BAD_FIELD, field=field, problem=problem))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer for an error that Tornado detected or a handler raised."""
        if status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
            # The action may have begun, so the outcome is unknown and the
            # request is not refused.
            body = encode(unknown('', 'the host had an internal error.'))
            self._finish_json(HTTPStatus.INTERNAL_SERVER_ERROR, body)
            return
        reason = HTTPStatus(status_code).phrase
        body = encode(
            refuse(Reason.BAD_FIELD, field='request', problem=f'{reason}.')
        )
        self._finish_json(status_code, body)

    def log_exception(self, *error: Any) -> None:
        """Log unexpected exceptions.

        HTTP errors are omitted, because the log line of the request already
        contains their status.
        """
        if isinstance(error[1], HTTPError):
            return
        logger.opt(exception=error).bind(path=self.request.path).error(
            'operator_request_failed',
        )

    def _finish_json(self, status: int, body: Mapping[str, Any]) -> None:
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(dump_json(body))


@final
class StatusHandler(OperatorHandler):
    """``GET /v1/status``."""

    async def get(self) -> None:
        """Answer with the current status of the host."""
        self.answer_fields(encode(self.actions.status()))


@final
class DocumentsHandler(OperatorHandler):
    """``GET /v1/documents``."""

    async def get(self) -> None:
        """Answer with all documents in force."""
        entries = [_document_entry(each) for each in self.actions.documents()]
        self.answer_fields({'documents': entries})


@final
class DocumentHandler(OperatorHandler):
    """``/v1/documents/<service>``."""

    async def get(self, service: str) -> None:
        """Answer with one document in force."""
        document = self.actions.document(service)
        if document is None:
            self.answer(refuse(Reason.UNKNOWN_SERVICE, service=service))
        else:
            self.answer_fields(_document_entry(document))

    async def put(self, service: str) -> None:
        """Put a document into force."""
        body = _parse_body(ApplyBody, self.request.body)
        if isinstance(body, Refused):
            self.answer(body)
            return
        document = parse_document(dump_json(body.document))
        if isinstance(document, InvalidFile):
            self.answer(_refuse_document(document))
        elif document.service == service:
            await self._apply(document, body.expected_revision)
        else:
            self.refuse_field('service', f'the path names {service}.')

    async def _apply(self, document: ServiceDocument, expected: int) -> None:
        if expected < 0:
            self.refuse_field('expected_revision', 'it is negative.')
            return
        self.answer(await self.actions.apply_document(document, expected))


@final
class TargetHandler(OperatorHandler):
    """``POST /v1/targets/<member>/drain`` and ``/undrain``."""

    async def post(self, member_name: str, action: str) -> None:
        """Stop or resume new work for the target."""
        self.answer(
            await self.actions.set_target_leaving(
                member_name, is_leaving=action == 'drain'
            )
        )


@final
class PromoteHandler(OperatorHandler):
    """``POST /v1/groups/<group>/promote``."""

    async def post(self, group_name: str) -> None:
        """Make a member the primary of the group."""
        body = _parse_body(PromoteBody, self.request.body)
        if isinstance(body, Refused):
            self.answer(body)
        else:
            self.answer(await self.actions.promote(group_name, body.member))


@final
class HostDrainHandler(OperatorHandler):
    """``POST /v1/drain``."""

    async def post(self) -> None:
        """Start the graceful shutdown of this host."""
        self.answer(await self.actions.drain_host())


@final
class UnknownPathHandler(OperatorHandler):
    """Any other path."""

    async def prepare(self) -> None:
        """Refuse the request, whatever its method."""
        await super().prepare()
        if self._finished:
            return
        self.send_error(HTTPStatus.NOT_FOUND)


def operator_application(actions: OperatorActions, secret: str) -> Application:
    """Build the application of the operator listener.

    Parameters
    ----------
    actions
        Called by the handlers.
    secret
        Required in every request. If it is empty, every request is refused.
    """
    arguments = {'actions': actions, 'secret': secret}
    routes: list[Any] = [
        ('/v1/status', StatusHandler, arguments),
        ('/v1/documents', DocumentsHandler, arguments),
        ('/v1/documents/([^/]+)', DocumentHandler, arguments),
        ('/v1/targets/([^/]+)/(drain|undrain)', TargetHandler, arguments),
        ('/v1/groups/([^/]+)/promote', PromoteHandler, arguments),
        ('/v1/drain', HostDrainHandler, arguments),
    ]
    return Application(
        routes,
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=_log_request,
    )


def _log_request(handler: RequestHandler) -> None:
    request = handler.request
    logger.bind(
        method=request.method,
        path=request.path,
        http_status=handler.get_status(),
        remote_ip=request.remote_ip,
        duration_ms=round(MS_PER_S * request.request_time()),
    ).info('operator_request')


def _document_entry(document: ServiceDocument) -> dict[str, Any]:
    return {
        _REVISION: document.revision,
        'document': document_body(document),
    }


def _refuse_document(invalid: InvalidFile) -> Refused:
    # Line numbers are omitted: they refer to the JSON of the request, and not
    # to the file of the operator.
    descriptions = (
        f'{each.field}: {each.problem} {each.remedy}'
        for each in invalid.problems
    )
    return refuse(Reason.DOCUMENT_INVALID, problem=' '.join(descriptions))


def _parse_body(model: type[Any], body: bytes) -> Any:
    try:
        payload = json.loads(body)
    except (ValueError, RecursionError):
        return _refuse_body('it is not JSON, or nested too deeply.')
    if not isinstance(payload, dict):
        return _refuse_body('it is not a JSON object.')
    try:
        return decode(model, payload)
    except cattrs.BaseValidationError as error:
        fault = field_faults(error)[0]
        return refuse(
            Reason.BAD_FIELD,
            field=fault.field,
            problem=fault.problem,
        )


def _refuse_body(problem: str) -> Refused:
    return refuse(Reason.BAD_FIELD, field='body', problem=problem)
