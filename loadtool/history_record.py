"""A request of the load process with its answer, as its caller saw them."""

import enum
from collections.abc import Mapping
from typing import final

import attrs


@final
class RequestKind(enum.StrEnum):
    """Operation that the caller requested."""

    WRITE = 'write'
    TRANSACTION = 'transaction'
    READ = 'read'
    SETTLE = 'settle'


@final
class Result(enum.StrEnum):
    """Outcome in the answer.

    ``ROLLED_BACK`` means that the transaction was not committed.
    """

    COMPLETED = 'completed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    ROLLED_BACK = 'rolled_back'


@final
@attrs.frozen
class HistoryRecord:
    """One request and its answer.

    All times come from the monotonic clock of the load process.

    Attributes
    ----------
    session
        Session of the caller. It sends a request only after the answer to the
        previous one.
    sent_s, last_sent_s, answered_s
        Times of the first call, of the last call (the commit of a transaction)
        and of the last answer.
    mark
        Unique value that a write stores with each statement, and that a read
        selects so that the answer returns it.
    sequence
        Number of the write in its session, starting at 1.
    part_count
        Number of statements of the write that are logged.
    by_session, sent_token
        Whether the request named its session by id, and the token that it sent
        instead.
    nonces
        Marks that the answers returned, one for each call with results.
    sequences
        Sequence number of the newest write that a read saw, by session.
    pair
        Marks of two rows that each write changes in one transaction.
    is_broken
        Whether no answer arrived because the connection broke or the caller
        timed out.
    """

    kind: RequestKind
    group: str
    session: str
    request_id: str
    host: str
    sent_s: float
    last_sent_s: float
    answered_s: float
    outcome: Result
    mark: str
    reason: str | None = None
    sequence: int = 0
    part_count: int = 0
    durability: str = 'replicated'
    token: str | None = None
    sent_token: str | None = None
    by_session: bool = False
    max_age_ms: int | None = None
    data_age_ms: int = 0
    member: str = ''
    is_replayed: bool = False
    is_broken: bool = False
    nonces: tuple[str, ...] = ()
    sequences: Mapping[str, int] = attrs.field(factory=dict)
    pair: tuple[str, ...] = ()

    @property
    def is_write(self) -> bool:
        """Whether the request changes data."""
        return self.kind in {RequestKind.WRITE, RequestKind.TRANSACTION}

    @property
    def is_acknowledged(self) -> bool:
        """Whether the caller was told that its write was committed."""
        return self.is_write and self.outcome is Result.COMPLETED
