"""Address and limits of one member of a database group."""

from typing import final

import attrs


@final
@attrs.frozen
class MemberAddress:
    """One target.

    Attributes
    ----------
    name
        Unique over all groups.
    data_centre
        Where the target runs.
    address
        ``ip:port``.
    slot_count
        Statements the target runs at the same time.
    connection_limit_count
        Data connections the target accepts from all hosts together.
    """

    name: str
    data_centre: str
    address: str
    slot_count: int = 2
    connection_limit_count: int = 16
