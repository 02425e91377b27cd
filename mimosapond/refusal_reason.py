"""Reasons of refusals."""

import enum
from typing import final


@final
class RefusalReason(enum.StrEnum):
    """Stable identifier of a reason, which programs may test for."""

    BAD_FIELD = 'bad_field'
    BODY_TOO_LARGE = 'body_too_large'
    CONNECTION_LIMIT = 'connection_limit'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_WORKSPACE = 'unknown_workspace'
    BAD_TOKEN = 'bad_token'
    REQUEST_EXPIRED = 'request_expired'
    REQUEST_CANCELLED = 'request_cancelled'
    REQUEST_PENDING = 'request_pending'
    SQL_ERROR = 'sql_error'
    NOT_READY = 'not_ready'
    NOT_OWNER = 'not_owner'
    NO_PRIMARY = 'no_primary'
    NO_TARGET = 'no_target'
    TARGET_UNREACHABLE = 'target_unreachable'
    TARGET_LEAVING = 'target_leaving'
    DEADLINE_EXCEEDED = 'deadline_exceeded'
    OVERLOADED = 'overloaded'
    WORKSPACE_LIMIT = 'workspace_limit'
    TOO_STALE = 'too_stale'
    SESSION_WRITE_LOST = 'session_write_lost'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    HOST_LEAVING = 'host_leaving'
    NO_TRANSACTION = 'no_transaction'
    TRANSACTION_ABORTED = 'transaction_aborted'
    DOCUMENT_CONFLICT = 'document_conflict'
    DOCUMENT_INVALID = 'document_invalid'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    UNKNOWN_TARGET = 'unknown_target'
    UNKNOWN_GROUP = 'unknown_group'
    PROMOTION_FAILED = 'promotion_failed'
    UNAUTHORIZED = 'unauthorized'
