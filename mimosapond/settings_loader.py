"""Loads the settings file of a host into ``Options``.

Every fault of the file is reported at once. A host that started with a
misspelt or negative limit would run with a limit that nobody chose.
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
        # Above one half, the old and the new owner of a replica together
        # could exceed the connection limit of the member.
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
        Secret files with a relative path are looked up beside it.
    environment
        Source of secrets that are named by ``*_secret_env``.

    Returns
    -------
    Options or InvalidFile
        InvalidFile holds every fault.
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
    """Build the options from the text of a settings file."""
    problems: list[FileProblem] = []
    mapping = compose_mapping(text, problems)
    if mapping is None:
        return invalid_file(problems)
    fields = _read_fields(mapping)
    for name in _SECRETS:
        fields[name] = _read_secret(mapping, name, folder, environment)
    _check_addresses(mapping, fields)
    _check_times(mapping, fields)
    mapping.report_unknown()
    return invalid_file(problems) if problems else Options(**fields)


def _read_fields(mapping: YamlMapping) -> dict[str, Any]:
    mapping.require(*_REQUIRED)
    read = {name: mapping.read(name, rule) for name, rule in _RULES.items()}
    fields: dict[str, Any] = {
        name: content for name, content in read.items() if content is not None
    }
    word = fields.get('routing_policy', RoutingPolicy.OWNER)
    fields['routing_policy'] = RoutingPolicy(word)
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
    # Asked of each source, so that all three count as known fields.
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
        found = _secret_from_environment(location, environment)
    else:
        found = _secret_from_file(folder / location)
    return _accept_secret(mapping, given[0], found)


def _accept_secret(
    mapping: YamlMapping,
    source: str,
    found: FieldResult,
) -> str:
    match found:
        case ValidField(content=content):
            return str(content)
        case InvalidField(problem=problem, remedy=remedy):
            mapping.report(source, problem, remedy)
    return ''


def _secret_from_environment(
    variable: str,
    environment: Mapping[str, str],
) -> FieldResult:
    found = environment.get(variable)
    if found is None:
        return InvalidField(
            f'the environment has no variable {variable}.',
            'Set the variable, or name another one.',
        )
    return check_secret_text(found)


def _secret_from_file(path: pathlib.Path) -> FieldResult:
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        fault = unreadable_file(path, error)
        return InvalidField(fault.problem, fault.remedy)
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
                'Give each listener an address of its own.',
            )


def _check_times(mapping: YamlMapping, fields: Mapping[str, Any]) -> None:
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
            'Raise it, or a primary is suspected between two beacons.',
        )
