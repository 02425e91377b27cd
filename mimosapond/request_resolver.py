"""Resolves a request against the service documents in force."""

from typing import Final, Protocol, final

import attrs

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.errors import refuse
from mimosapond.group_spec import GroupSpec
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.request_validator import RequestValidator
from mimosapond.routed_request import RoutedRequest
from mimosapond.service_document import ServiceDocument
from mimosapond.statement_request import StatementRequest
from mimosapond.token import Token
from mimosapond.transaction_call import TransactionCall

_NOT_READY_RETRY_MS: Final = 500
_DEFAULT_DEADLINE_MS: Final = 5000
_DEFAULT_MAX_AGE_MS: Final = 1000


class DocumentSource(Protocol):
    """The part of the document store that routing needs."""

    @property
    def is_ready(self) -> bool:
        """Whether the platform or a peer has answered since the start."""

    def current(self, service: str) -> ServiceDocument | None:
        """Return the document in force, None when none is known."""


@final
class RequestResolver:
    """Determines the group, workspace and limits of a request."""

    def __init__(
        self,
        documents: DocumentSource,
        validator: RequestValidator,
        clock: Clock,
    ) -> None:
        """Use ``clock`` to turn time limits into deadlines."""
        self._documents = documents
        self._validator = validator
        self._clock = clock

    def resolve(self, request: StatementRequest) -> RoutedRequest | Refused:
        """Check ``request`` and fill in defaults from its service document."""
        fault = self._validator.check(request)
        if fault is not None:
            return fault
        document = self.document(request.service)
        if isinstance(document, Refused):
            return document
        workspace = document.workspace(request.workspace)
        group = document.group(workspace.group) if workspace else None
        if workspace is None or group is None:
            return refuse(
                RefusalReason.UNKNOWN_WORKSPACE,
                service=request.service,
                workspace=request.workspace,
            )
        if _has_foreign_token(request, group):
            return refuse(
                RefusalReason.BAD_TOKEN,
                problem=f'it does not belong to group {group.name}',
            )
        filled = _fill_defaults(request, document)
        deadline_ms = filled.deadline_ms or _DEFAULT_DEADLINE_MS
        deadline_s = self._clock.monotonic_s() + deadline_ms / MS_PER_S
        return RoutedRequest(filled, group, workspace, deadline_s)

    def check_call(self, call: TransactionCall) -> Refused | None:
        """Return the refusal for an invalid call, None when it is valid."""
        return self._validator.check_call(call)

    def document(self, service: str) -> ServiceDocument | Refused:
        """Return the document of ``service``, or why there is none."""
        document = self._documents.current(service)
        if document is not None:
            return document
        if not self._documents.is_ready:
            return refuse(
                RefusalReason.NOT_READY,
                retry_after_ms=_NOT_READY_RETRY_MS,
            )
        return refuse(RefusalReason.UNKNOWN_SERVICE, service=service)


def _has_foreign_token(request: StatementRequest, group: GroupSpec) -> bool:
    # Writes don't use the token, but a token of another group reveals a mistake
    # of the caller.
    token = None if request.token is None else Token.parse(request.token)
    return token is not None and token.group != group.name


def _fill_defaults(
    request: StatementRequest,
    document: ServiceDocument,
) -> StatementRequest:
    promise = document.promise(request.work_class)
    deadline_ms = promise.deadline_ms if promise else _DEFAULT_DEADLINE_MS
    max_age_ms = promise.max_age_ms if promise else _DEFAULT_MAX_AGE_MS
    if request.deadline_ms is not None:
        deadline_ms = request.deadline_ms
    if request.max_age_ms is not None:
        max_age_ms = request.max_age_ms
    return attrs.evolve(
        request,
        deadline_ms=deadline_ms,
        max_age_ms=max_age_ms,
    )
