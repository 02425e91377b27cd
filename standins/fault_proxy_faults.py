"""Faults of one listener of the fault proxy."""

from typing import final

import attrs


@final
@attrs.frozen
class LinkFaults:
    """Current faults of a listener; by default, none.

    Attributes
    ----------
    delay_ms
        Delay of every byte, in each direction.
    cut
        Open connections are reset when the cut begins, and new ones at once.
    cut_to_target, cut_to_client
        Bytes and closes in this direction are held back, on open and new
        connections, and delivered when the cut ends, as TCP retransmits them.
    truncate_after_bytes
        Bytes of answers after which each connection is closed, counted from
        the latest change of the faults; 0 means no limit.
    """

    delay_ms: float = 0
    cut: bool = False
    cut_to_target: bool = False
    cut_to_client: bool = False
    truncate_after_bytes: int = 0
