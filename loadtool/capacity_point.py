"""One measured point of a capacity series."""

from typing import final

import attrs


@final
@attrs.frozen
class CapacityPoint:
    """Load of the hosts over one window, at one size of the series.

    Attributes
    ----------
    size
        Size that the series varies: groups, hosts, clients, statements per
        second or documents.
    core_percent
        Mean processor time of a host, in percent of one core.
    resident_mb
        Largest resident memory of any host, in millions of bytes.
    link_bytes_per_s
        Mean payload bytes per second of the links that a host opened, in both
        directions; 0 if not measured.
    completed_per_s
        Statements completed per second in the whole deployment; 0 without
        load.
    """

    size: int
    core_percent: float
    resident_mb: float
    link_bytes_per_s: float
    completed_per_s: float = 0
