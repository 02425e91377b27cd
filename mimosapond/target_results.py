"""Results of calls to a target, tagged by what is known of their effect."""

import dataclasses
from typing import TypeAlias, final

from mimosapond.standing import Standing
from mimosapond.statement_result import StatementResult


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswered:
    """The call ran; ``standing`` was taken when it ended."""

    results: tuple[StatementResult, ...]
    standing: Standing


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetRejected:
    """The target refused the call and it had no effect.

    Attributes
    ----------
    reason
        Fixed word of the member protocol, for example ``not_primary``.
    message
        For people.
    standing
        The member's standing where it sent one.
    """

    reason: str
    message: str
    standing: Standing | None = None


@final
@dataclasses.dataclass(frozen=True, slots=True)
class TargetSilent:
    """No answer came; the call may have had its effect if it was sent."""

    problem: str
    sent: bool


TargetResult: TypeAlias = TargetAnswered | TargetRejected | TargetSilent
ControlResult: TypeAlias = Standing | TargetRejected | TargetSilent
