"""Settings of in-process instances."""

from typing import Final

from mimosapond.host_record import HostRecord
from mimosapond.options import Options

PERIOD_S: Final = 1
_PERIOD_MS: Final = 1000


def build_options(own: HostRecord) -> Options:
    """Return settings with a probe interval of ``PERIOD_S``."""
    return Options(
        host_name=own.host_id,
        data_centre=own.data_centre,
        caller_address='',
        peer_address=own.address,
        operator_address='',
        platform_address='',
        probe_interval_ms=_PERIOD_MS,
    )
