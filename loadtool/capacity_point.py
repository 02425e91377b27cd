"""One measured point of a capacity series."""

from typing import final

import attrs


@final
@attrs.frozen
class CapacityPoint:
    """Mean per host over one window.

    Attributes
    ----------
    size
        What the series varies.
    core_percent
        Processor time of a host in percent of one core.
    resident_mb
        Largest resident memory of a host, in millions of bytes.
    link_bytes_per_s
        Payload bytes of the links that a host opened; 0 if not measured.
    completed_per_s
        Statements completed in the deployment; 0 without load.
    """

    size: int
    core_percent: float
    resident_mb: float
    link_bytes_per_s: float
    completed_per_s: float = 0
