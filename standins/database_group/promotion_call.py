"""Request body that promotes a member."""

import time
from typing import final

import attrs


@final
@attrs.frozen
class PromotionCall:
    """Body of ``POST /promote``.

    Attributes
    ----------
    holder, token
        Host that called the platform, and its fencing token.
    called_s
        Time of that call on the monotonic clock. A call may be carried out
        seconds later.
    """

    member_id: str
    holder: str = ''
    token: int = 0
    called_s: float = attrs.field(factory=time.monotonic)
