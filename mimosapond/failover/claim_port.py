"""Claim on the replacement of a group's primary."""

from typing import Protocol, TypeAlias, final

import attrs


@final
@attrs.frozen
class DutyClaim:
    """The claim is held.

    Parameters
    ----------
    token
        Fencing token: higher than that of every earlier claim.
    expires_s
        From when on another host may hold the claim.
    """

    token: int
    expires_s: float


@final
@attrs.frozen
class DutyTaken:
    """Another host holds the claim."""

    holder: str


@final
@attrs.frozen
class DutyUnknown:
    """The store did not answer."""

    reason: str


ClaimOutcome: TypeAlias = DutyClaim | DutyTaken | DutyUnknown


class ClaimPort(Protocol):
    """Claims on groups, one holder at a time."""

    async def claim(self, group: str) -> ClaimOutcome:
        """Claim a group for a short time."""

    async def reserve(self) -> int | None:
        """Take a token in advance; None if the store did not answer."""

    async def release(self, group: str) -> None:
        """Let other hosts claim the group at once."""
