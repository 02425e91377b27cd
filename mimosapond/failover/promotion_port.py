"""Port for the promotion of a member by the platform."""

from typing import Protocol, TypeAlias, final

import attrs


@final
@attrs.frozen
class Promoted:
    """The platform accepted the promotion, or the member already led."""


@final
@attrs.frozen
class PromotionRefused:
    """A higher token was used before, or the member does not run."""

    reason: str


@final
@attrs.frozen
class PromotionUnknown:
    """No answer came; the promotion may still take effect seconds later."""

    reason: str


PromotionOutcome: TypeAlias = Promoted | PromotionRefused | PromotionUnknown


class PromotionPort(Protocol):
    """Promotes a member to primary."""

    async def promote(
        self, group: str, member_id: str, token: int, limit_s: float
    ) -> PromotionOutcome:
        """Make a member the primary of the next term.

        Parameters
        ----------
        token
            Fencing token; the platform refuses a call whose token is lower
            than one that it has seen.
        limit_s
            Timeout of the call.
        """
