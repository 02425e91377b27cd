"""Counters of the payload bytes that a listener forwarded."""

from typing import final

import attrs


@final
@attrs.define
class ForwardedBytes:
    """Totals of both directions since the start of the proxy."""

    to_target_bytes: int = 0
    to_client_bytes: int = 0

    def add_to_target(self, count: int) -> None:
        """Count bytes that went to the target."""
        self.to_target_bytes += count

    def add_to_client(self, count: int) -> None:
        """Count bytes that went to the client."""
        self.to_client_bytes += count
