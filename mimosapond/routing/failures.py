"""Failures told to callers, with their remedies."""

from typing import Final

from mimosapond.groups.member_answer import Rejected, RejectionKind
from mimosapond.statements.reply import Failure, FailureKind

RETRY_AFTER_MS: Final = 100

NO_PRIMARY: Final = Failure(
    FailureKind.not_run,
    f'no primary now; retry after {RETRY_AFTER_MS} ms',
)
NO_CONNECTION: Final = Failure(
    FailureKind.not_run,
    f'no connection to a member in time; retry after {RETRY_AFTER_MS} ms',
)
NO_FRESH_MEMBER: Final = Failure(
    FailureKind.not_run,
    f'no member is known to be fresh; retry after {RETRY_AFTER_MS} ms',
)
READ_UNANSWERED: Final = Failure(
    FailureKind.timed_out,
    'no member answered the read in time; repeat it',
)
WRITE_UNANSWERED: Final = Failure(
    FailureKind.unknown,
    'the write may have taken effect; read before repeating it',
)
ROLLED_BACK: Final = Failure(
    FailureKind.rolled_back,
    'the transaction was rolled back; repeat it as a whole',
)
IDLE_TIMEOUT: Final = Failure(
    FailureKind.rolled_back,
    'the transaction was idle too long and rolled back; repeat it',
)
NOT_IN_TRANSACTION: Final = Failure(
    FailureKind.malformed,
    'no transaction is open; send BEGIN first',
)
IN_TRANSACTION: Final = Failure(
    FailureKind.malformed,
    'a transaction is open; end it first',
)
TRANSACTION_FAILED: Final = Failure(
    FailureKind.malformed,
    'the transaction failed; end it before other statements',
)
NO_SUCH_STATEMENT: Final = Failure(
    FailureKind.no_such_statement,
    'the name is not prepared in this session; prepare it',
)
NO_CONFIGURATION: Final = Failure(
    FailureKind.not_run,
    'this host has no configuration yet; connect again to reach another',
)
NO_SUCH_DATABASE: Final = Failure(
    FailureKind.no_such_database,
    'no route for this database; check its name',
)


def from_rejection(answer: Rejected) -> Failure:
    """Return the failure for a statement that ran and failed."""
    kind = FailureKind.failed
    if answer.kind is RejectionKind.timed_out:
        kind = FailureKind.timed_out
    return Failure(kind, f'the member answered: {answer.text}')
