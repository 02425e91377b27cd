"""Messages and remedies of all refusals.

The texts are a part of the caller interface. Programs test the reason; people
read the message and the remedy.
"""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from mimosapond.refusal_reason import RefusalReason as Reason
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown

_TEXTS: Final[Mapping[Reason, tuple[str, str]]] = MappingProxyType(
    {
        Reason.BAD_FIELD: (
            'Field {field}: {problem}',
            'Correct the field and send the request again.',
        ),
        Reason.BODY_TOO_LARGE: (
            'The body exceeds {limit_bytes} bytes.',
            'Split the request into smaller ones.',
        ),
        Reason.CONNECTION_LIMIT: (
            'All {limit_count} caller connections of this host are in use.',
            'Reuse open connections, or connect again after the given time.',
        ),
        Reason.UNKNOWN_SERVICE: (
            'No document declares service {service}.',
            'Check the name, or apply a document for the service.',
        ),
        Reason.UNKNOWN_WORKSPACE: (
            'Service {service} has no workspace {workspace}.',
            'Check the name, or add the workspace to the service document.',
        ),
        Reason.BAD_TOKEN: (
            'Field token: {problem}',
            'Send the token of the last completed answer unchanged, or none.',
        ),
        Reason.REQUEST_EXPIRED: (
            'Field request_id: {problem}',
            'Create a new request id at the time of the request.',
        ),
        Reason.REQUEST_CANCELLED: (
            'Request {request_id} was cancelled when its outcome was settled.',
            'It did not and will not run. Send it under a new request id.',
        ),
        Reason.REQUEST_PENDING: (
            'Request {request_id} has no settled outcome yet.',
            'Ask for the outcome again.',
        ),
        Reason.SQL_ERROR: (
            'The target rejected the SQL: {problem}',
            'Correct the statement; the transaction was rolled back.',
        ),
        Reason.NOT_READY: (
            'This host has not learned the service documents yet.',
            'Send the request again after the given time.',
        ),
        Reason.NOT_OWNER: (
            'This host does not own {member}.',
            'The entry host retries with the current owner.',
        ),
        Reason.NO_PRIMARY: (
            'Group {group} has no reachable primary: {problem}',
            'Send the request again after the given time.',
        ),
        Reason.NO_TARGET: (
            'No member of group {group} can serve this read: {problem}',
            'Send the request again, or accept older data with max_age_ms.',
        ),
        Reason.TARGET_UNREACHABLE: (
            'Target {member} accepts no connection: {problem}',
            'Send the request again after the given time.',
        ),
        Reason.TARGET_LEAVING: (
            'Target {member} is leaving and takes no new work.',
            'Send the request again after the given time.',
        ),
        Reason.DEADLINE_EXCEEDED: (
            'The deadline passed before the request was sent to a target.',
            'Send the request again, with a longer deadline if possible.',
        ),
        Reason.OVERLOADED: (
            'Expected wait of {wait_ms} ms at {member} exceeds the deadline.',
            'Send the request again after the given time.',
        ),
        Reason.WORKSPACE_LIMIT: (
            'Workspace {workspace} uses all of its {limit_count} connections.',
            'Finish open work, or raise the limit in the service document.',
        ),
        Reason.TOO_STALE: (
            'Data at {member} is {age_ms} ms old; the bound is {max_age_ms} ms.',
            'Send the request again, or accept older data with max_age_ms.',
        ),
        Reason.SESSION_WRITE_LOST: (
            'The write of token {token} did not survive a change of primary.',
            'Drop the token, read the data again and repeat the write if needed.',
        ),
        Reason.RETRY_BUDGET_SPENT: (
            'The retry budget of this host is spent: {problem}',
            'Send the request again after the given time.',
        ),
        Reason.HOST_LEAVING: (
            'Host {host_id} is shutting down and begins no transactions.',
            'Send the request again; another host takes over.',
        ),
        Reason.NO_TRANSACTION: (
            'There is no open transaction {transaction_id} at this host.',
            'It has ended or was rolled back. Begin a new transaction.',
        ),
        Reason.TRANSACTION_ABORTED: (
            'The transaction was rolled back: {problem}',
            'Begin a new transaction and repeat its statements.',
        ),
        Reason.DOCUMENT_CONFLICT: (
            'Service {service} is at revision {revision}, not {expected}.',
            'Read the newer revision, merge the edit and apply it again.',
        ),
        Reason.DOCUMENT_INVALID: (
            'The document was not accepted: {problem}',
            'Correct the document and apply it again.',
        ),
        Reason.PLATFORM_UNAVAILABLE: (
            'The platform did not answer: {problem}',
            'Nothing was changed. Send the request again after the given time.',
        ),
        Reason.UNKNOWN_TARGET: (
            'No document declares target {member}.',
            'Check the name; mimosapond document show lists the members.',
        ),
        Reason.UNKNOWN_GROUP: (
            'No document declares group {group}.',
            'Check the name; mimosapond status lists the groups.',
        ),
        Reason.PROMOTION_FAILED: (
            'Group {group} did not promote {member}: {problem}',
            'Check that a majority of its members is reachable; try again.',
        ),
        Reason.UNAUTHORIZED: (
            'The secret is missing or wrong.',
            'Send the secret of the settings in X-Mimosapond-Secret.',
        ),
    }
)
_UNKNOWN_REMEDY: Final = (
    'Ask POST /v1/outcomes with this request id, or repeat the request '
    'under the same id.'
)


def refuse(
    reason: Reason,
    *,
    retry_after_ms: int | None = None,
    **details: object,
) -> Refused:
    """Build a refusal with the message and remedy of its reason.

    Parameters
    ----------
    reason
        Reason that selects the message and the remedy.
    retry_after_ms
        Time after which to retry; None when a retry can't help.
    **details
        Values for the placeholders of the message.
    """
    message, remedy = _TEXTS[reason]
    return Refused(
        reason=reason,
        message=message.format(**details),
        remedy=remedy,
        retry_after_ms=retry_after_ms,
    )


def unknown(request_id: str, problem: str) -> Unknown:
    """Build the outcome of a request that may have run.

    Parameters
    ----------
    request_id
        Id with which the caller can settle the outcome.
    problem
        Why the outcome is unknown; a part of the message.
    """
    return Unknown(
        request_id=request_id,
        message=f'The request may have run: {problem}',
        remedy=_UNKNOWN_REMEDY,
    )
