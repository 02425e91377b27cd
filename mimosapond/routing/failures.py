"""Failures that callers get, each with the action to take."""

import math
from typing import Final

from mimosapond.groups.admission_request import NotAdmitted, RefusalCause
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.member_answer import Rejected, RejectionKind
from mimosapond.statements.reply import Failure, FailureKind

RETRY_AFTER_MS: Final = 100
_OVER_QUOTA_TEXT: Final = 'the quota of the workspace is used up'

NO_PRIMARY: Final = Failure(
    FailureKind.not_run,
    f'no primary is available; retry after {RETRY_AFTER_MS} ms',
)
NO_HOLDER: Final = Failure(
    FailureKind.not_run,
    'no host that holds the group is reachable; '
    f'retry after {RETRY_AFTER_MS} ms',
)
NO_CONNECTION: Final = Failure(
    FailureKind.not_run,
    'no connection to a member became free in time; '
    f'retry after {RETRY_AFTER_MS} ms',
)
NO_WITNESS: Final = Failure(
    FailureKind.not_run,
    'no replica is known that would keep the write; '
    f'retry after {RETRY_AFTER_MS} ms',
)
NO_FRESH_MEMBER: Final = Failure(
    FailureKind.not_run,
    'the log position that the read requires is unknown; '
    f'retry after {RETRY_AFTER_MS} ms',
)
NO_QUOTA_HOME: Final = Failure(
    FailureKind.not_run,
    'no host that counts the operations of the workspace is reachable; '
    f'retry after {RETRY_AFTER_MS} ms',
)
READ_UNANSWERED: Final = Failure(
    FailureKind.timed_out,
    'no member answered the read in time; repeat it',
)
WRITE_UNANSWERED: Final = Failure(
    FailureKind.unknown,
    'the write may have taken effect; check with a read before repeating it',
)
ROLLED_BACK: Final = Failure(
    FailureKind.rolled_back,
    'the transaction was rolled back; repeat it as a whole',
)
IDLE_TIMEOUT: Final = Failure(
    FailureKind.rolled_back,
    'the transaction exceeded the idle timeout and was rolled back; repeat it',
)
NOT_IN_TRANSACTION: Final = Failure(
    FailureKind.malformed,
    'no transaction is open; send BEGIN first',
)
IN_TRANSACTION: Final = Failure(
    FailureKind.malformed,
    'a transaction is open; commit or roll it back first',
)
TRANSACTION_FAILED: Final = Failure(
    FailureKind.malformed,
    'the transaction failed; roll it back before other statements',
)
NO_SUCH_STATEMENT: Final = Failure(
    FailureKind.no_such_statement,
    'no statement of this name is prepared in this session; prepare it',
)
NO_CONFIGURATION: Final = Failure(
    FailureKind.not_run,
    'this host has no configuration yet; connect again to reach another',
)
HOST_STOPPING: Final = Failure(
    FailureKind.not_run,
    'this host is stopping and nothing was run; connect again to reach another',
)
NO_SUCH_DATABASE: Final = Failure(
    FailureKind.no_such_database,
    'no route exists for this database; check its name',
)
ROUTE_CHANGED: Final = Failure(
    FailureKind.not_run,
    f'the route of the database has changed; retry after {RETRY_AFTER_MS} ms',
)
UNKNOWN_KEY: Final = Failure(
    FailureKind.unauthenticated,
    'the key identifies no workspace and nothing was run; connect with a key '
    'of the workspace',
)
REVOKED_IN_TRANSACTION: Final = Failure(
    FailureKind.unauthenticated,
    'the key was revoked and the transaction was rolled back; repeat it with '
    'another key of the workspace',
)


def not_admitted(refusal: NotAdmitted) -> Failure:
    """Return the failure for a statement that no member can run in time."""
    return Failure(
        FailureKind.not_run,
        'the members are too busy to answer in time; '
        f'retry after {refusal.retry_after_ms} ms',
    )


def from_borrowing(outcome: NotAdmitted | NoConnection) -> Failure | None:
    """Return the failure if a member is too busy; None if others may do."""
    match outcome:
        case NotAdmitted(cause=cause) if cause is not RefusalCause.unreachable:
            return not_admitted(outcome)
        case _:
            return None


def is_over_quota(failure: Failure) -> bool:
    """Return whether an operation was refused because of the quota."""
    return failure.text.startswith(_OVER_QUOTA_TEXT)


def over_quota(retry_after_ms: float) -> Failure:
    """Return the failure of an operation whose workspace used up its quota."""
    return Failure(
        FailureKind.not_run,
        f'{_OVER_QUOTA_TEXT}; retry after {math.ceil(retry_after_ms)} ms',
    )


def from_rejection(answer: Rejected) -> Failure:
    """Return the failure for a statement that the member ran and rejected."""
    kind = FailureKind.failed
    if answer.kind is RejectionKind.timed_out:
        kind = FailureKind.timed_out
    return Failure(kind, f'the member answered: {answer.text}')
