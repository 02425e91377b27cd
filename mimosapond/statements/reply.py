"""What a caller is told about a statement."""

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
    """Kinds of failure; docs/callers.md says what each promises."""

    not_run = 'not_run'
    rolled_back = 'rolled_back'
    unknown = 'unknown'
    timed_out = 'timed_out'
    failed = 'failed'
    no_such_database = 'no_such_database'
    no_such_statement = 'no_such_statement'
    too_large = 'too_large'
    malformed = 'malformed'


@final
@attrs.frozen
class Success:
    """Rows and signature of the member; no signature for local answers."""

    rows: tuple[str, ...] = ()
    signature: str = ''


@final
@attrs.frozen
class Failure:
    """A failure with a text that names the remedy."""

    kind: FailureKind
    text: str


Reply: TypeAlias = Success | Failure
