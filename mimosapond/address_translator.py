"""Translates addresses before a connection is opened."""

from collections.abc import Iterable
from typing import final

from mimosapond.address_override import AddressOverride


@final
class AddressTranslator:
    """Addresses without an override are used as they are."""

    def __init__(self, overrides: Iterable[AddressOverride] = ()) -> None:
        """Take the overrides of the settings."""
        self._via = {entry.address: entry.via for entry in overrides}

    def resolve(self, address: str) -> str:
        """Return the address to connect to."""
        return self._via.get(address, address)
