"""Port for a data connection to a target."""

from collections.abc import Sequence
from typing import Protocol

from mimosapond.statement import Statement
from mimosapond.target_results import TargetResult


class TargetConnection(Protocol):
    """A stateful data connection that runs one call at a time.

    After a call that timed out, the state of the connection is unknown. It then
    closes itself, and ``is_open`` becomes false.
    """

    @property
    def is_open(self) -> bool:
        """Whether the connection may be used again."""

    async def read(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run read-only statements on committed data."""

    async def begin(
        self,
        term: int,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Start a transaction at ``term`` and run its first statements."""

    async def execute(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run statements in the open transaction."""

    async def commit(
        self,
        statements: Sequence[Statement],
        timeout_s: float,
    ) -> TargetResult:
        """Run the last statements and commit the open transaction."""

    async def rollback(self, timeout_s: float) -> TargetResult:
        """Roll the open transaction back."""

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""
