"""Translates addresses before a connection is opened."""

from collections.abc import Iterable
from typing import final

from mimosapond.address_override import AddressOverride


@final
class AddressTranslator:
    """Replaces the addresses for which the settings have an override."""

    def __init__(self, overrides: Iterable[AddressOverride] = ()) -> None:
        """Create a translator with the overrides of the settings."""
        self._via = {entry.address: entry.via for entry in overrides}

    def resolve(self, address: str) -> str:
        """Return the address to connect to in place of ``address``.

        This is ``address`` itself if it has no override.
        """
        return self._via.get(address, address)
