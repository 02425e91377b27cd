"""What the product asks of the platform's promotion."""

from typing import Protocol, TypeAlias, final

import attrs


@final
@attrs.frozen
class Promoted:
    """The member leads, or already led."""


@final
@attrs.frozen
class PromotionRefused:
    """A newer token was used, or the member does not run."""

    reason: str


@final
@attrs.frozen
class PromotionUnknown:
    """No answer; the promotion may still take place seconds later."""

    reason: str


PromotionOutcome: TypeAlias = Promoted | PromotionRefused | PromotionUnknown


class PromotionPort(Protocol):
    """Promotes members."""

    async def promote(
        self, group: str, member_id: str, token: int, limit_s: float
    ) -> PromotionOutcome:
        """Make a member lead the next term.

        Parameters
        ----------
        token
            Fencing token; a call with a lower one than seen is refused.
        """
