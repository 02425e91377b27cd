"""Decodes the configuration that operators write to the platform's store."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final

from mimosapond.configuration.configuration import Configuration, GroupLimits
from mimosapond.configuration.route import Freshness, Route
from mimosapond.json_decoding import UndecodableJson, decode_json_object
from mimosapond.platform.workspace_codec import decode_workspaces

_FRESHNESS: Final = MappingProxyType(
    {
        'primary': Freshness.latest,
        'bounded_stale': Freshness.bounded,
        'own_writes': Freshness.own_writes,
    },
)


def decode_configuration(content: bytes) -> Configuration | str:
    """Return the configuration, or the text of the error if it is invalid."""
    body = decode_json_object(content)
    if isinstance(body, UndecodableJson):
        return body.problem
    try:
        return _decode_body(body)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        return repr(error)


def _decode_body(body: Mapping[str, Any]) -> Configuration:
    return Configuration(
        version=int(body['version']),
        routes={
            entry['host']: _decode_route(entry) for entry in body['routes']
        },
        groups={
            entry['name']: GroupLimits(
                entry['name'],
                int(entry['max_conns']),
                int(entry.get('sync_replicas', 0)),
            )
            for entry in body['services']
        },
        transaction_idle_timeout_ms=float(body['limits']['tx_idle_ms']),
        workspaces=(
            decode_workspaces(body['tenants']) if 'tenants' in body else None
        ),
    )


def _decode_route(entry: Mapping[str, Any]) -> Route:
    return Route(
        database=entry['host'],
        group=entry['service'],
        freshness=_FRESHNESS[entry['kind']],
        max_age_ms=float(entry.get('max_staleness_ms', 0)),
        statement_timeout_ms=float(entry['timeout_ms']),
        priority=int(entry.get('priority', 0)),
        is_anonymous=_decode_flag(entry.get('anonymous', False)),
    )


def _decode_flag(content: object) -> bool:
    # A text such as "false" must not open a route to callers without a key.
    if isinstance(content, bool):
        return content
    raise ValueError('anonymous is neither true nor false')
