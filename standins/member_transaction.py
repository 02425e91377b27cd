"""The open write transaction of one member."""

from typing import final

from mimosapond.statement import Statement


@final
class MemberTransaction:
    """Its term and the statements that go into the log on commit."""

    def __init__(self, term: int) -> None:
        """Start without statements."""
        self.term = term
        self.statements: list[Statement] = []
        self.is_aborted = False
