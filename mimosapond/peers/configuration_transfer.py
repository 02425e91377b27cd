"""JSON body of a configuration that one host hands to another.

It holds all fields in the terms of the product, with digests in place of keys.
"""

import json
from collections.abc import Mapping
from typing import Any, Final, final

import attrs
from cattrs.preconf.json import make_converter

from mimosapond.configuration.configuration import Configuration

# Fields that a newer version of the product adds are ignored.
_CONVERTER: Final = make_converter(detailed_validation=False)
# Size up to which a host hands a configuration to each host of its data centre.
# To twenty of them, it takes one second of a link of 5 Mbit/s.
MAX_HANDED_BYTES: Final = 32 * 1024


@final
@attrs.frozen
class ConfigurationTooLarge:
    """A host has a newer configuration, and it is to be read at the source."""


@final
class ConfigurationSize:
    """Tells whether a configuration is too large to be handed to many hosts.

    The size is computed once for each version.
    """

    def __init__(self) -> None:
        """Start without a known size."""
        self._version = -1
        self._is_too_large = False

    def is_too_large(self, configuration: Configuration) -> bool:
        """Return whether the encoded configuration exceeds the limit."""
        if configuration.version != self._version:
            content = json.dumps(encode_configuration(configuration))
            self._version = configuration.version
            self._is_too_large = len(content) > MAX_HANDED_BYTES
        return self._is_too_large


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
