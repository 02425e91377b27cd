"""Replies to a caller's statement."""

import enum
from typing import TypeAlias, final

import attrs


@final
class SessionState(enum.Enum):
    """Transaction state of a session."""

    idle = 'idle'
    in_transaction = 'in_transaction'
    failed = 'failed'


@final
class FailureKind(enum.Enum):
    """Kinds of failure; docs/callers.md describes what each guarantees."""

    not_run = 'not_run'
    rolled_back = 'rolled_back'
    unknown = 'unknown'
    timed_out = 'timed_out'
    failed = 'failed'
    unauthenticated = 'unauthenticated'
    no_such_database = 'no_such_database'
    no_such_statement = 'no_such_statement'
    too_large = 'too_large'
    malformed = 'malformed'


@final
@attrs.frozen
class Success:
    """Result of a statement that succeeded.

    Parameters
    ----------
    signature
        Signature of the member; empty if this host answered by itself.
    """

    rows: tuple[str, ...] = ()
    signature: str = ''


@final
@attrs.frozen
class Failure:
    """A statement that failed.

    Parameters
    ----------
    text
        Says what happened and what the caller can do about it.
    """

    kind: FailureKind
    text: str


Reply: TypeAlias = Success | Failure
