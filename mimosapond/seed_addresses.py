"""Peer addresses from the settings and the platform's host list."""

from collections.abc import Iterable
from typing import final


@final
class SeedAddresses:
    """Addresses at which peers may be found that are not known hosts.

    The host list may be out of date, so a listed address does not mean that a
    host runs there; only an answer from it does.
    """

    def __init__(self, configured: Iterable[str]) -> None:
        """Create seeds from the addresses in the settings."""
        self._configured = frozenset(configured)
        self._listed: frozenset[str] = frozenset()

    def replace_listed(self, listed: Iterable[str]) -> None:
        """Replace the listed addresses by those of the newest host list."""
        self._listed = frozenset(listed)

    def all(self) -> frozenset[str]:
        """Return the addresses of the settings and of the host list."""
        return self._configured | self._listed
