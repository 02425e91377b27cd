"""Possible outcomes of a request to a member on one connection."""

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


# Rejections that guarantee that the request was not executed.
NOT_EXECUTED_KINDS: Final = frozenset(
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
    """The request was executed.

    Parameters
    ----------
    rows
        Rows of the result.
    signature
        Proof of the member that it executed this request.
    position
        Position of the member's log after the request; None if the answer
        named none.
    """

    rows: tuple[str, ...]
    signature: str
    state: SessionState
    position: LogPosition | None


@final
@attrs.frozen
class Rejected:
    """The member refused the request, or the request failed at the member."""

    kind: RejectionKind
    text: str
    state: SessionState
    position: LogPosition | None


@final
@attrs.frozen
class LinkLost:
    """No complete answer arrived, and the connection is closed.

    Parameters
    ----------
    was_sent
        Whether the member may have received the request.
    """

    reason: str
    was_sent: bool = True


MemberAnswer: TypeAlias = Completed | Rejected | LinkLost


def outcome_label(answer: MemberAnswer) -> str:
    """Return the label of an answer for the log field ``outcome``."""
    match answer:
        case Completed():
            return 'completed'
        case Rejected(kind=kind):
            return kind.value
        case LinkLost(reason=reason):
            return reason
