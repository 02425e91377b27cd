"""Settings of instances that run in one process."""

from typing import Final

from mimosapond.host_record import HostRecord
from mimosapond.options import Options

PROBE_INTERVAL_S: Final = 1
_PROBE_INTERVAL_MS: Final = 1000


def build_options(own: HostRecord) -> Options:
    """Return settings for a host, with a probe interval of 1 s."""
    return Options(
        host_name=own.host_id,
        data_centre=own.data_centre,
        caller_address='',
        peer_address=own.address,
        operator_address='',
        platform_address='',
        probe_interval_ms=_PROBE_INTERVAL_MS,
    )
