"""Plans a separate link through the fault proxy for each pair of processes."""

from collections.abc import Iterable, Mapping
from typing import final

from mimosapond.address_override import AddressOverride
from standins.processes import free_addresses


@final
class NetworkPlan:
    """Collects links, named ``<from>><to>``, such as ``host-0>forge-0-1``."""

    def __init__(self, *, is_proxied: bool) -> None:
        """Create an empty plan; without a proxy, it gets no links."""
        self._is_proxied = is_proxied
        self._links: dict[str, tuple[str, str]] = {}

    @property
    def links(self) -> Mapping[str, tuple[str, str]]:
        """Listening and target address of each link by name."""
        return self._links

    def connect(self, source: str, name: str, address: str) -> str:
        """Return the address at which ``source`` connects to ``address``.

        With a proxy, this adds a link from ``source`` to ``name``.
        """
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
        """Return the address overrides for the settings of host ``source``.

        Parameters
        ----------
        targets
            Name and address of each process that the host connects to.
        """
        return tuple(
            AddressOverride(address, self.connect(source, name, address))
            for name, address in targets
            if self._is_proxied
        )
