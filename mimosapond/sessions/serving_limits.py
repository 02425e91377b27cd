"""Limits on the statements that a stopping host still begins."""

import math
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.statements.statement import (
    Begin,
    Commit,
    DirectStatement,
    Execute,
    Statement,
)

# A statement that begins later is likely to be unfinished when the host has to
# answer it, and the caller is better served by a host that goes on.
_MIN_STATEMENT_TIME_S: Final = 0.8
# Shorter, since a refused commit costs the caller the whole transaction.
_MIN_COMMIT_TIME_S: Final = 0.3


@final
class ServingLimits:
    """Time by which a stopping host has to answer all its callers.

    Until ``end_at`` is called, nothing is limited.
    """

    def __init__(self, now: Now) -> None:
        """Start without a limit; ``now`` is the clock of all times."""
        self._now = now
        self._answers_end_s = math.inf

    @property
    def accepts_statements(self) -> bool:
        """Whether a read, a write or a BEGIN can be expected to end in time."""
        return self._remaining_s() >= _MIN_STATEMENT_TIME_S

    @property
    def accepts_commits(self) -> bool:
        """Whether a COMMIT can be expected to end in time."""
        return self._remaining_s() >= _MIN_COMMIT_TIME_S

    def end_at(self, answers_end_s: float) -> None:
        """Require that all answers are given until ``answers_end_s``."""
        self._answers_end_s = answers_end_s

    def cap(self, deadline_s: float) -> float:
        """Return the earlier of a deadline and the end of all answers."""
        return min(deadline_s, self._answers_end_s)

    def may_begin(self, statement: Statement) -> bool:
        """Return whether a statement can be expected to end in time.

        Statements that this host answers by itself always can.
        """
        match statement:
            case Begin() | DirectStatement() | Execute():
                return self.accepts_statements
            case Commit():
                return self.accepts_commits
            case _:
                return True

    def _remaining_s(self) -> float:
        return self._answers_end_s - self._now()
