"""Settings of one host on the platform.

All problems of a settings file are reported at once, in the same way as for the
settings of a host that runs with stand-ins.
"""

import pathlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias, final

import attrs

from mimosapond.field_rule import (
    AddressRule,
    ChoiceRule,
    FieldRule,
    NameRule,
    NumberRule,
)
from mimosapond.file_problem import (
    FileProblem,
    InvalidFile,
    invalid_file,
    unreadable_file,
)
from mimosapond.setting_limits import (
    DAY_MS,
    HOUR_S,
    LOG_LEVELS,
    MAX_PROCESSOR_RATIO,
)
from mimosapond.yaml_mapping import compose_mapping

_TRUE: Final = 'true'
_FALSE: Final = 'false'
_MAX_SLACK_COUNT: Final = 1_000_000
_FLAGS: Final = (_TRUE, _FALSE)
# The program itself takes about 35 MB.
_MIN_MEMORY_MB: Final = 50
_MAX_MEMORY_MB: Final = 1_000_000
# Of these, 200 are for files.
_MIN_DESCRIPTOR_COUNT: Final = 256
_MAX_DESCRIPTOR_COUNT: Final = 10_000_000
_REQUIRED: Final = (
    'host',
    'data_centre',
    'caller_address',
    'ready_address',
    'peer_address',
    'store_address',
    'promotion_address',
)
_RULES: Final[Mapping[str, FieldRule]] = MappingProxyType(
    {
        'host': NameRule(),
        'data_centre': NameRule(),
        'caller_address': AddressRule(),
        'ready_address': AddressRule(),
        'peer_address': AddressRule(),
        'store_address': AddressRule(),
        'promotion_address': AddressRule(),
        'stop_grace_s': NumberRule(0.1, HOUR_S),
        'member_drain_ms': NumberRule(1, DAY_MS),
        'configuration_apply_ms': NumberRule(1, DAY_MS),
        'processor_ratio': NumberRule(0.001, MAX_PROCESSOR_RATIO),
        'processor_speed_ratio': NumberRule(0.001, MAX_PROCESSOR_RATIO),
        'is_first_start': ChoiceRule(_FLAGS),
        'checks_tokens': ChoiceRule(_FLAGS),
        'strict_revoke': ChoiceRule(_FLAGS),
        'revoke_ms': NumberRule(1, DAY_MS),
        'quota_window_s': NumberRule(0.1, HOUR_S),
        'quota_overshoot_ratio': NumberRule(0, 10),
        'quota_slack_count': NumberRule(0, _MAX_SLACK_COUNT),
        'memory_mb': NumberRule(_MIN_MEMORY_MB, _MAX_MEMORY_MB),
        'max_fds': NumberRule(_MIN_DESCRIPTOR_COUNT, _MAX_DESCRIPTOR_COUNT),
        'memory_wait_ms': NumberRule(1, DAY_MS),
        'start_timeout_ms': NumberRule(1, DAY_MS),
        'message_timeout_ms': NumberRule(1, DAY_MS),
        'answer_timeout_ms': NumberRule(1, DAY_MS),
        'log_level': ChoiceRule(LOG_LEVELS),
    },
)


@final
@attrs.frozen
class HostSettings:
    """Addresses that a host listens on and calls, and its limits.

    Parameters
    ----------
    caller_address, ready_address, peer_address
        ``ip:port`` of the listeners for callers, the load balancer and other
        hosts.
    store_address, promotion_address
        ``ip:port`` of the platform's table store and promotion service.
    stop_grace_s
        Time from the stop signal until the process is killed.
    member_drain_ms
        Time within which work on a member must stop after the member has
        announced that it is leaving.
    configuration_apply_ms
        Time within which an acknowledged configuration must be in force.
    processor_ratio, processor_speed_ratio
        Share of a processor core that the host gets, and the speed of that
        core; their product is the capacity of the host.
    is_first_start
        ``true`` if the whole system starts for the first time.
    checks_tokens
        ``true`` if the promotion service refuses a fencing token that is lower
        than one it has seen, and a former primary refuses requests at once.
    strict_revoke
        ``true`` if an open transaction is rolled back when the key of its
        caller is revoked, instead of being allowed to finish.
    revoke_ms
        Time within which such a transaction must be rolled back.
    quota_window_s
        Span of time in which the operations of a workspace are limited.
    quota_overshoot_ratio, quota_slack_count
        Tolerated excess over the quota of such a span: a part of the quota,
        and a number of operations.
    memory_mb, max_fds
        Memory and descriptors of the host, by which messages and connections
        are limited.
    memory_wait_ms
        Time after which a message is refused that has got no memory.
    start_timeout_ms
        Time in which a caller must send START.
    message_timeout_ms
        Time from the first part of a message until its end.
    answer_timeout_ms
        Time in which a caller must take an answer.
    """

    host: str
    data_centre: str
    caller_address: str
    ready_address: str
    peer_address: str
    store_address: str
    promotion_address: str
    stop_grace_s: float = 6.0
    member_drain_ms: float = 7000
    configuration_apply_ms: float = 3000
    processor_ratio: float = 1
    processor_speed_ratio: float = 1
    is_first_start: str = _FALSE
    checks_tokens: str = _TRUE
    strict_revoke: str = _FALSE
    revoke_ms: float = 5000
    quota_window_s: float = 5.0
    quota_overshoot_ratio: float = 0.1
    quota_slack_count: float = 20
    memory_mb: float = 1024
    max_fds: float = 65_536
    memory_wait_ms: float = 5000
    start_timeout_ms: float = 15_000
    message_timeout_ms: float = 15_000
    answer_timeout_ms: float = 15_000
    log_level: str = 'INFO'

    @property
    def capacity(self) -> float:
        """Processor time that the host gets, in cores."""
        return self.processor_ratio * self.processor_speed_ratio

    @property
    def starts_system(self) -> bool:
        """Whether all hosts of the system start for the first time."""
        return self.is_first_start == _TRUE

    @property
    def has_token_check(self) -> bool:
        """Whether a promotion with a lower token than earlier is refused."""
        return self.checks_tokens == _TRUE

    @property
    def is_revocation_strict(self) -> bool:
        """Whether a revoked key ends its open transactions."""
        return self.strict_revoke == _TRUE

    @property
    def configuration_limit_ms(self) -> float:
        """Time within which a configuration must have taken full effect."""
        if self.is_revocation_strict:
            return min(self.configuration_apply_ms, self.revoke_ms)
        return self.configuration_apply_ms


LoadedHostSettings: TypeAlias = HostSettings | InvalidFile


def load_host_settings(path: pathlib.Path) -> LoadedHostSettings:
    """Return the settings in a file, or all problems found in it."""
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return InvalidFile((unreadable_file(path, error),))
    return parse_host_settings(text)


def parse_host_settings(text: str) -> LoadedHostSettings:
    """Return the settings in a YAML text, or all problems found in it."""
    problems: list[FileProblem] = []
    mapping = compose_mapping(text, problems)
    if mapping is None:
        return invalid_file(problems)
    mapping.require(*_REQUIRED)
    fields: dict[str, Any] = {
        name: content
        for name, rule in _RULES.items()
        if (content := mapping.read(name, rule)) is not None
    }
    mapping.report_unknown()
    return invalid_file(problems) if problems else HostSettings(**fields)
