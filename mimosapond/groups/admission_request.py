"""Requests for admission to a member, and refusals of them."""

import enum
from typing import final

import attrs

from mimosapond.groups.statement_class import StatementClass


@final
@attrs.frozen
class AdmissionRequest:
    """A statement that asks to be sent to a member.

    Parameters
    ----------
    statement_class
        Its priority orders the queue; the expected time of its class tells
        whether the deadline can be met.
    workspace
        Name of the workspace, or empty; workspaces share the member fairly.
    deadline_s
        Time by which the answer has to arrive, on the host's boot clock.
    is_in_transaction
        Whether a connection is already held by the open transaction of the
        statement. It goes ahead of new work of its priority, since it frees
        the connection, and is refused only at its deadline.
    """

    statement_class: StatementClass
    workspace: str
    deadline_s: float
    is_in_transaction: bool = False


@final
class RefusalCause(enum.Enum):
    """Why a request is not admitted.

    Attributes
    ----------
    queue_full
        The queue has reached its bound.
    too_late
        The deadline can not be met.
    unreachable
        The member can not be reached, or its connections are used up; another
        member or host may be used.
    """

    queue_full = 'queue_full'
    too_late = 'too_late'
    unreachable = 'unreachable'


@final
@attrs.frozen
class NotAdmitted:
    """A request that is not sent to the member.

    Parameters
    ----------
    retry_after_ms
        Time after which a retry is likely to be served, with jitter.
    """

    cause: RefusalCause
    retry_after_ms: int
