"""Gives each pair of processes a link of its own through the fault proxy."""

from collections.abc import Iterable, Mapping
from typing import final

from mimosapond.address_override import AddressOverride
from standins.processes import free_addresses


@final
class NetworkPlan:
    """Links are named ``<from>><to>``, for example ``host-0>forge-0-1``."""

    def __init__(self, *, is_proxied: bool) -> None:
        """Without a proxy all addresses are reached directly."""
        self._is_proxied = is_proxied
        self._links: dict[str, tuple[str, str]] = {}

    @property
    def links(self) -> Mapping[str, tuple[str, str]]:
        """Listen and target address by name."""
        return self._links

    def connect(self, source: str, name: str, address: str) -> str:
        """Return the address under which ``source`` reaches ``address``."""
        if not self._is_proxied:
            return address
        listen = free_addresses(1)[0]
        self._links[f'{source}>{name}'] = (listen, address)
        return listen

    def overrides(
        self,
        source: str,
        targets: Iterable[tuple[str, str]],
    ) -> tuple[AddressOverride, ...]:
        """Return the overrides of host ``source`` for named addresses."""
        return tuple(
            AddressOverride(address, self.connect(source, name, address))
            for name, address in targets
            if self._is_proxied
        )
