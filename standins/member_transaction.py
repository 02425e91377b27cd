"""Open write transaction of one member."""

from typing import final

from mimosapond.statement import Statement


@final
class MemberTransaction:
    """Term and statements of a transaction, which are logged on commit."""

    def __init__(self, term: int) -> None:
        """Start without statements."""
        self.term = term
        self.statements: list[Statement] = []
        self.is_aborted = False
