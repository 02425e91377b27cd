"""Request body that starts a fault."""

from typing import final

import attrs


@final
@attrs.frozen
class FaultCall:
    """Body of ``POST /fault``.

    Attributes
    ----------
    member_id
        Member with the fault; by default, all members.
    for_s
        Duration; by default, the fault lasts until it is set again.
    ratio
        Probability with which an answer is affected; for ``slow``, the factor
        by which the duration of requests is multiplied; for ``late_resume``,
        the delay in seconds.
    replace_after_s
        Only for ``drain``: time from the stop of the member until a
        replacement with the same log and a new id starts at its address; by
        default, there is no replacement.
    overlap_s
        Only for ``replace``: time from the start of the new member until the
        old one drains.
    """

    kind: str
    member_id: str | None = None
    for_s: float | None = None
    ratio: float = 1
    replace_after_s: float | None = None
    overlap_s: float = 0
