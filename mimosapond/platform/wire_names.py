"""Maps the words of the platform's wire protocol to the product's terms."""

from types import MappingProxyType
from typing import Final

from mimosapond.groups.member_answer import RejectionKind
from mimosapond.statements.reply import FailureKind, SessionState

SESSION_STATES: Final = MappingProxyType(
    {
        'I': SessionState.idle,
        'T': SessionState.in_transaction,
        'E': SessionState.failed,
    },
)
STATE_LETTERS: Final = MappingProxyType(
    {state: letter for letter, state in SESSION_STATES.items()},
)
REJECTION_KINDS: Final = MappingProxyType(
    {
        'RETRY': RejectionKind.busy,
        'LAGGING': RejectionKind.behind,
        'READONLY': RejectionKind.not_primary,
        'WRONGNODE': RejectionKind.wrong_member,
        'CONNLIMIT': RejectionKind.too_many_connections,
        'NOSUCHSTMT': RejectionKind.unknown_name,
        'FAILED': RejectionKind.failed,
        'TIMEOUT': RejectionKind.timed_out,
    },
)
FAILURE_CODES: Final = MappingProxyType(
    {
        FailureKind.not_run: 'RETRY',
        FailureKind.rolled_back: 'ABORTED',
        FailureKind.unknown: 'INDOUBT',
        FailureKind.timed_out: 'TIMEOUT',
        FailureKind.failed: 'FAILED',
        FailureKind.unauthenticated: 'AUTHFAIL',
        FailureKind.no_such_database: 'NOSUCHDB',
        FailureKind.no_such_statement: 'NOSUCHSTMT',
        FailureKind.too_large: 'TOOBIG',
        FailureKind.malformed: 'MALFORMED',
    },
)
