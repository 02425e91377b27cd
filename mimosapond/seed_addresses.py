"""Addresses of peers from the settings and the platform's host list."""

from collections.abc import Iterable
from typing import final


@final
class SeedAddresses:
    """Where to look for peers that the membership does not know.

    The platform's list lags, so an address on it proves nothing about the
    host; only an answer does.
    """

    def __init__(self, configured: Iterable[str]) -> None:
        """Take the addresses of the settings."""
        self._configured = frozenset(configured)
        self._listed: frozenset[str] = frozenset()

    def replace_listed(self, listed: Iterable[str]) -> None:
        """Take the addresses of the newest host list."""
        self._listed = frozenset(listed)

    def all(self) -> frozenset[str]:
        """Return all addresses."""
        return self._configured | self._listed
