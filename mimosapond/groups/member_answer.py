"""Answers of a member to one request on one connection."""

import enum
from typing import Final, TypeAlias, final

import attrs

from mimosapond.groups.log_position import LogPosition
from mimosapond.statements.reply import SessionState


@final
class RejectionKind(enum.Enum):
    """Why a member did not complete a request."""

    busy = 'busy'
    behind = 'behind'
    not_primary = 'not_primary'
    wrong_member = 'wrong_member'
    too_many_connections = 'too_many_connections'
    unknown_name = 'unknown_name'
    failed = 'failed'
    timed_out = 'timed_out'
    other = 'other'


# The member says with these that the request did not run.
NOT_RUN: Final = frozenset(
    (
        RejectionKind.busy,
        RejectionKind.behind,
        RejectionKind.not_primary,
        RejectionKind.wrong_member,
        RejectionKind.too_many_connections,
        RejectionKind.unknown_name,
    ),
)


@final
@attrs.frozen
class Completed:
    """The request ran; ``position`` is that of the member's log after it."""

    rows: tuple[str, ...]
    signature: str
    state: SessionState
    position: LogPosition | None


@final
@attrs.frozen
class Rejected:
    """The member refused the request or it failed there."""

    kind: RejectionKind
    text: str
    state: SessionState
    position: LogPosition | None


@final
@attrs.frozen
class LinkLost:
    """No whole answer came; the connection is closed.

    Parameters
    ----------
    was_sent
        Whether the member may have got the request.
    """

    reason: str
    was_sent: bool = True


MemberAnswer: TypeAlias = Completed | Rejected | LinkLost


def outcome_word(answer: MemberAnswer) -> str:
    """Return the word for an answer in logs."""
    match answer:
        case Completed():
            return 'completed'
        case Rejected(kind=kind):
            return kind.value
        case LinkLost(reason=reason):
            return reason
