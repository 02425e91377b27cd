"""JSON body of a configuration that one host hands to another.

It holds all fields in the terms of the product, with digests in place of keys.
"""

from collections.abc import Mapping
from typing import Any, Final, final

import attrs
from cattrs.preconf.json import make_converter

from mimosapond.configuration.configuration import Configuration

# Fields that a newer version of the product adds are ignored.
_CONVERTER: Final = make_converter(detailed_validation=False)


@final
@attrs.frozen
class ConfigurationTooLarge:
    """A host has a newer configuration, and it is to be read at the source."""


def encode_configuration(configuration: Configuration) -> dict[str, Any]:
    """Return the JSON body of a configuration."""
    body: dict[str, Any] = _CONVERTER.unstructure(configuration)
    return body


def decode_configuration(body: Mapping[str, Any]) -> Configuration:
    """Return the configuration of a JSON body.

    Raises
    ------
    AttributeError, KeyError, TypeError, ValueError
        The body does not describe a configuration.
    """
    return _CONVERTER.structure(body, Configuration)
