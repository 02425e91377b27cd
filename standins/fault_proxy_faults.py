"""Faults of one forwarded listener."""

from typing import final

import attrs


@final
@attrs.frozen
class LinkFaults:
    """Current faults of a listener; the defaults are none.

    Attributes
    ----------
    delay_ms
        Added to every byte, in each direction.
    cut
        Open connections were reset; new ones are reset.
    cut_to_target, cut_to_client
        Bytes and closes in this direction are held back, on open and new
        connections, and delivered when the cut ends, as TCP retransmits them.
    truncate_after_bytes
        Each connection is closed after this many bytes of answers, counted
        from the latest change of the faults; 0 is off.
    """

    delay_ms: float = 0
    cut: bool = False
    cut_to_target: bool = False
    cut_to_client: bool = False
    truncate_after_bytes: int = 0
