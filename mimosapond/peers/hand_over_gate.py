"""Keeps large configurations from filling the links between hosts."""

import json
import math
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.configuration.configuration import Configuration
from mimosapond.peers.configuration_transfer import encode_configuration

# Size up to which a host hands a configuration to each host of its data centre.
# To twenty of them, it takes one second of a link of 5 Mbit/s.
_MAX_SMALL_BYTES: Final = 32 * 1024
# Shortest time between two larger ones that a host hands over. One with 1,500 routes
# takes half a second of such a link.
_LARGE_INTERVAL_S: Final = 1.0


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
        self._is_known_large = False
        self._handed_s = -math.inf

    def admit(
        self, configuration: Configuration, *, accepts_large: bool
    ) -> bool:
        """Return whether to hand over a configuration now."""
        if not self._is_too_large(configuration):
            return True
        now_s = self._now()
        if not accepts_large or now_s - self._handed_s < _LARGE_INTERVAL_S:
            return False
        self._handed_s = now_s
        return True

    def _is_too_large(self, configuration: Configuration) -> bool:
        """Return whether it is large; computed once for each version."""
        if configuration.version != self._version:
            content = json.dumps(encode_configuration(configuration))
            self._version = configuration.version
            self._is_known_large = len(content) > _MAX_SMALL_BYTES
        return self._is_known_large
