"""Results of calls to a target, by what is known about their effect."""

import dataclasses
from typing import TypeAlias, final

from mimosapond.standing import Standing
from mimosapond.statement_result import StatementResult


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The call ran.

    Attributes
    ----------
    results
        One result per statement.
    standing
        Standing of the member when the call ended.
    """

    results: tuple[StatementResult, ...]
    standing: Standing


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetRejected:
    """The target refused the call and it had no effect.

    Attributes
    ----------
    reason
        Identifier of the member protocol, for example ``not_primary``.
    message
        Description for people.
    standing
        Standing of the member, None when it sent none.
    """

    reason: str
    message: str
    standing: Standing | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetSilent:
    """No answer arrived.

    Attributes
    ----------
    problem
        Why there is no answer.
    sent
        Whether the call was sent, so that it may have taken effect.
    """

    problem: str
    sent: bool


TargetResult: TypeAlias = TargetAnswered | TargetRejected | TargetSilent
ControlResult: TypeAlias = Standing | TargetRejected | TargetSilent
