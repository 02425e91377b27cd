"""One request of a load process, as its caller saw it."""

import enum
from collections.abc import Mapping
from typing import final

import attrs


@final
class RequestKind(enum.StrEnum):
    """What the caller asked for."""

    WRITE = 'write'
    TRANSACTION = 'transaction'
    READ = 'read'
    SETTLE = 'settle'


@final
class Result(enum.StrEnum):
    """What the caller was told; an aborted transaction was not committed."""

    COMPLETED = 'completed'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    ROLLED_BACK = 'rolled_back'


@final
@attrs.frozen
class HistoryRecord:
    """All times are of the monotonic clock of the one load process.

    Attributes
    ----------
    session
        Caller's session; it waits for one request before the next.
    sent_s, last_sent_s, answered_s
        First call, last call (the commit of a transaction) and last answer.
    mark
        Written with each statement, or asked back by a read.
    sequence
        Number of the write in its session.
    part_count
        Logged statements of the write.
    by_session, sent_token
        How a read or write named its session.
    nonces
        Marks that came back; one is expected for each call with results.
    sequences
        By session: number of its newest write that the read saw.
    pair
        The marks of two rows that each write changes together.
    is_broken
        No answer came: the connection broke or the caller gave up.
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
        """Whether it asked for a change of data."""
        return self.kind in {RequestKind.WRITE, RequestKind.TRANSACTION}

    @property
    def is_acknowledged(self) -> bool:
        """Whether the caller was told that its write is in force."""
        return self.is_write and self.outcome is Result.COMPLETED
