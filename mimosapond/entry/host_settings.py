"""Settings of one host on the platform, in the product's own names."""

import pathlib
from typing import Any, final

import attrs
import cattrs
import yaml


@final
@attrs.frozen
class HostSettings:
    """Where a host listens and what it calls.

    Parameters
    ----------
    caller_address, ready_address, store_address, promotion_address
        ``ip:port``.
    stop_grace_s
        From the signal to stop until the process is killed.
    member_drain_ms
        After a member said that it leaves, work must stop within this time.
    """

    host: str
    data_centre: str
    caller_address: str
    ready_address: str
    store_address: str
    promotion_address: str
    stop_grace_s: float = 6.0
    member_drain_ms: float = 7000
    log_level: str = 'INFO'


def load_host_settings(path: pathlib.Path) -> HostSettings | str:
    """Return the settings, or what is wrong with the file."""
    try:
        body: Any = yaml.safe_load(path.read_text(encoding='utf-8'))
        return cattrs.structure(body, HostSettings)
    except (OSError, yaml.YAMLError, cattrs.BaseValidationError) as error:
        problems = (
            '; '.join(cattrs.transform_error(error))
            if isinstance(error, cattrs.BaseValidationError)
            else str(error)
        )
        return f'{path}: {problems}'
