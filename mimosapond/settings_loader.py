"""Loads the settings file of a host into ``Options``.

All problems of the file are reported together, and unknown settings are errors:
if a misspelt setting were ignored, the host would run with a default instead of
the intended limit.
"""

import os
import pathlib
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import attrs

from mimosapond.address_override import AddressOverride
from mimosapond.field_check import (
    FieldResult,
    InvalidField,
    ValidField,
    check_secret_text,
)
from mimosapond.field_rule import (
    AddressRule,
    ChoiceRule,
    FieldRule,
    NameRule,
    NumberRule,
    SecretRule,
    TextRule,
    WholeNumberRule,
)
from mimosapond.file_problem import (
    FileProblem,
    InvalidFile,
    invalid_file,
    unreadable_file,
)
from mimosapond.options import Options, RoutingPolicy
from mimosapond.setting_limits import DAY_MS, HOUR_S, LOG_LEVELS
from mimosapond.yaml_mapping import YamlMapping, compose_mapping

_MILLION: Final = 1_000_000
_GIBIBYTE: Final = 1_073_741_824
_REQUIRED: Final = (
    'host_name',
    'data_centre',
    'caller_address',
    'peer_address',
    'operator_address',
    'platform_address',
)
_LISTENERS: Final = ('caller_address', 'peer_address', 'operator_address')
_SECRETS: Final = ('peer_secret', 'operator_secret')
_SEEDS: Final = 'seed_addresses'
_OVERRIDES: Final = 'address_overrides'
_RULES: Final[Mapping[str, FieldRule]] = MappingProxyType(
    {
        'host_name': NameRule(),
        'data_centre': NameRule(),
        'caller_address': AddressRule(),
        'peer_address': AddressRule(),
        'operator_address': AddressRule(),
        'platform_address': AddressRule(),
        'statsd_address': AddressRule(),
        'log_level': ChoiceRule(LOG_LEVELS),
        'routing_policy': ChoiceRule(tuple(RoutingPolicy)),
        'direct_host_count': WholeNumberRule(1, 100_000),
        'body_limit_bytes': WholeNumberRule(1, _GIBIBYTE),
        'header_timeout_s': NumberRule(0.1, HOUR_S),
        'idle_timeout_s': NumberRule(0.1, HOUR_S),
        'caller_connection_limit_count': WholeNumberRule(1, _MILLION),
        'beacon_interval_ms': WholeNumberRule(1, DAY_MS),
        'suspect_after_ms': WholeNumberRule(1, DAY_MS),
        'connection_check_timeout_ms': WholeNumberRule(1, DAY_MS),
        'probe_interval_ms': WholeNumberRule(1, DAY_MS),
        'platform_poll_interval_ms': WholeNumberRule(1, DAY_MS),
        'platform_timeout_ms': WholeNumberRule(1, DAY_MS),
        'platform_lock_timeout_ms': WholeNumberRule(1, DAY_MS),
        'drain_timeout_s': NumberRule(0, HOUR_S),
        # While the ownership of a replica moves, the old and the new owner
        # both have connections to it. Above one half, they could together
        # exceed the connection limit of the member.
        'connection_share_ratio': NumberRule(0.01, 0.5),
        'queue_limit_count': WholeNumberRule(1, _MILLION),
        'session_limit_count': WholeNumberRule(1, _MILLION),
        'long_statement_ms': WholeNumberRule(1, DAY_MS),
        'aging_step_s': NumberRule(0.1, HOUR_S),
    }
)

LoadedSettings: TypeAlias = Options | InvalidFile


def load_settings(
    path: pathlib.Path,
    environment: Mapping[str, str] = os.environ,
) -> LoadedSettings:
    """Load the settings file at ``path``.

    Parameters
    ----------
    path
        Relative paths of secret files are resolved against its folder.
    environment
        Environment variables, for secrets that ``*_secret_env`` names.

    Returns
    -------
    Options or InvalidFile
        The settings, or all problems of the file.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return InvalidFile((unreadable_file(path, error),))
    return parse_settings(text, path.parent, environment)


def parse_settings(
    text: str,
    folder: pathlib.Path,
    environment: Mapping[str, str],
) -> LoadedSettings:
    """Parse the text of a settings file.

    Parameters
    ----------
    text
        YAML text.
    folder
        Relative paths of secret files are resolved against it.
    environment
        Environment variables, for secrets that ``*_secret_env`` names.

    Returns
    -------
    Options or InvalidFile
        The settings, or all problems of the file.
    """
    problems: list[FileProblem] = []
    mapping = compose_mapping(text, problems)
    if mapping is None:
        return invalid_file(problems)
    fields = _read_fields(mapping)
    for name in _SECRETS:
        fields[name] = _read_secret(mapping, name, folder, environment)
    _check_addresses(mapping, fields)
    _check_intervals(mapping, fields)
    mapping.report_unknown()
    return invalid_file(problems) if problems else Options(**fields)


def _read_fields(mapping: YamlMapping) -> dict[str, Any]:
    mapping.require(*_REQUIRED)
    read = {name: mapping.read(name, rule) for name, rule in _RULES.items()}
    fields: dict[str, Any] = {
        name: content for name, content in read.items() if content is not None
    }
    policy = fields.get('routing_policy', RoutingPolicy.OWNER)
    fields['routing_policy'] = RoutingPolicy(policy)
    if mapping.has(_OVERRIDES):
        fields[_OVERRIDES] = tuple(_read_overrides(mapping))
    if mapping.has(_SEEDS):
        fields[_SEEDS] = mapping.texts(_SEEDS, AddressRule())
    return fields


def _read_overrides(mapping: YamlMapping) -> Iterator[AddressOverride]:
    for entry in mapping.mappings(_OVERRIDES):
        entry.require('address', 'via')
        address = entry.text('address', AddressRule())
        via = entry.text('via', AddressRule())
        entry.report_unknown()
        yield AddressOverride(address, via)


def _read_secret(
    mapping: YamlMapping,
    name: str,
    folder: pathlib.Path,
    environment: Mapping[str, str],
) -> str:
    sources = (name, f'{name}_file', f'{name}_env')
    # ``has`` marks a field as known, so it must be called for all three.
    given = [source for source in sources if mapping.has(source)]
    if len(given) != 1:
        names = ', '.join(sources)
        mapping.report(
            name,
            'give the secret in exactly one way.',
            f'Set one of {names}.',
        )
        return ''
    if given[0] == name:
        return mapping.text(name, SecretRule())
    location = mapping.text(given[0], TextRule())
    if not location:
        return ''
    if given[0].endswith('_env'):
        checked = _secret_from_environment(location, environment)
    else:
        checked = _secret_from_file(folder / location)
    return _unwrap_secret(mapping, given[0], checked)


def _unwrap_secret(
    mapping: YamlMapping,
    source: str,
    checked: FieldResult,
) -> str:
    match checked:
        case ValidField(content=content):
            return str(content)
        case InvalidField(problem=problem, remedy=remedy):
            mapping.report(source, problem, remedy)
    return ''


def _secret_from_environment(
    variable: str,
    environment: Mapping[str, str],
) -> FieldResult:
    secret = environment.get(variable)
    if secret is None:
        return InvalidField(
            f'the environment variable {variable} is not set.',
            'Set the variable, or name another one.',
        )
    return check_secret_text(secret)


def _secret_from_file(path: pathlib.Path) -> FieldResult:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        unreadable = unreadable_file(path, error)
        return InvalidField(unreadable.problem, unreadable.remedy)
    return check_secret_text(text.strip())


def _check_addresses(mapping: YamlMapping, fields: Mapping[str, Any]) -> None:
    seen: dict[str, str] = {}
    for name in _LISTENERS:
        address = fields.get(name, '')
        if not address:
            continue
        other = seen.setdefault(address, name)
        if other != name:
            mapping.report(
                name,
                f'{address} is also the {other}.',
                'Give each listener a different address.',
            )


def _check_intervals(mapping: YamlMapping, fields: Mapping[str, Any]) -> None:
    defaults = attrs.fields(Options)
    beacon_ms = fields.get(
        'beacon_interval_ms', defaults.beacon_interval_ms.default
    )
    suspect_ms = fields.get(
        'suspect_after_ms', defaults.suspect_after_ms.default
    )
    if suspect_ms <= beacon_ms:
        mapping.report(
            'suspect_after_ms',
            f'{suspect_ms} ms is not above beacon_interval_ms ({beacon_ms}).',
            'Raise it; otherwise a primary is suspected between two beacons.',
        )
