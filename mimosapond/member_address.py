"""Address and limits of one member of a database group."""

from typing import final

import attrs


@final
@attrs.frozen
class MemberAddress:
    """Location and limits of one target.

    Attributes
    ----------
    name
        Name that is unique among the members of all groups.
    data_centre
        Data centre in which the target runs.
    address
        ``ip:port``.
    slot_count
        Number of statements that the target runs concurrently.
    connection_limit_count
        Number of data connections that the target accepts from all hosts
        together.
    """

    name: str
    data_centre: str
    address: str
    slot_count: int = 2
    connection_limit_count: int = 16
