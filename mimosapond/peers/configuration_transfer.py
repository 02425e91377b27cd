"""JSON body of a configuration that one host hands to another.

It holds all fields in the terms of the product, with digests in place of keys.
"""

import json
import math
from collections.abc import Mapping
from typing import Any, Final, final

import attrs
from cattrs.preconf.json import make_converter

from mimosapond.boot_clock import Now
from mimosapond.configuration.configuration import Configuration

# Fields that a newer version of the product adds are ignored.
_CONVERTER: Final = make_converter(detailed_validation=False)
# Size up to which a host hands a configuration to each host of its data centre.
# To twenty of them, it takes one second of a link of 5 Mbit/s.
_MAX_SMALL_BYTES: Final = 32 * 1024
# Shortest time between two larger ones that a host hands over. One with 1,500 routes
# takes half a second of such a link.
_LARGE_INTERVAL_S: Final = 1.0


@final
@attrs.frozen
class ConfigurationTooLarge:
    """A host has a newer configuration, and it is to be read at the source."""


@final
class HandOverGate:
    """Decides whether a configuration is handed to a host that asks for it.

    A small one always is. A large one is handed over once a second, and only to
    hosts that cannot read it at the source.
    """

    def __init__(self, now: Now) -> None:
        """Start without a known size."""
        self._now = now
        self._version = -1
        self._is_large = False
        self._handed_s = -math.inf

    def admit(
        self, configuration: Configuration, *, accepts_large: bool
    ) -> bool:
        """Return whether to hand over a configuration now."""
        if not self._measure(configuration):
            return True
        now_s = self._now()
        if not accepts_large or now_s - self._handed_s < _LARGE_INTERVAL_S:
            return False
        self._handed_s = now_s
        return True

    def _measure(self, configuration: Configuration) -> bool:
        """Return whether it is large; computed once for each version."""
        if configuration.version != self._version:
            content = json.dumps(encode_configuration(configuration))
            self._version = configuration.version
            self._is_large = len(content) > _MAX_SMALL_BYTES
        return self._is_large


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
