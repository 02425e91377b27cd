"""A call that starts a fault."""

from typing import final

import attrs


@final
@attrs.frozen
class FaultCall:
    """Body of ``POST /fault``.

    Attributes
    ----------
    member_id
        By default all members.
    for_s
        By default the fault lasts until it is set again.
    replace_after_s
        Only for ``drain``: when a new member with the log of the one that has
        left starts at its address; by default, never.
    """

    kind: str
    member_id: str | None = None
    for_s: float | None = None
    ratio: float = 1
    replace_after_s: float | None = None
