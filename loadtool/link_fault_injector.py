"""Injects faults into the links of the fault proxy."""

import asyncio
from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Any, Final, final

from loadtool.deployment import Deployment

_PLATFORM: Final = 'platform'
_NO_FAULTS: Final[Mapping[str, Any]] = MappingProxyType(
    {'cut': False, 'cut_to_target': False, 'cut_to_client': False}
)


@final
class LinkFaultInjector:
    """Selects links by the processes at their ends and injects faults."""

    def __init__(self, deployment: Deployment) -> None:
        """Inject faults into a deployment that runs behind the fault proxy."""
        self._deployment = deployment

    def links_of(self, name: str) -> list[str]:
        """Return the links from or to the process ``name``."""
        return [
            link for link in self._deployment.links if name in link.split('>')
        ]

    def links_between(self, name: str, others: Collection[str]) -> list[str]:
        """Return the links between the process ``name`` and ``others``."""
        return [
            link
            for link in self.links_of(name)
            if not set(others).isdisjoint(set(link.split('>')) - {name})
        ]

    def links_leaving(self, data_centre: str) -> list[str]:
        """Return the links with exactly one end in ``data_centre``."""
        local_names = {
            host.name
            for host in self._deployment.hosts
            if host.data_centre == data_centre
        }
        local_names.update(
            member.name
            for group in self._deployment.groups
            for member in group.members
            if member.data_centre == data_centre
        )
        return [
            link
            for link in self._deployment.links
            if len(local_names.intersection(link.split('>'))) == 1
        ]

    async def inject(
        self,
        names: list[str],
        hold_s: float,
        **faults: Any,
    ) -> bool:
        """Inject faults into links and remove them after ``hold_s``.

        Returns
        -------
        bool
            Whether the proxy reported the faults for all of the links; False if
            ``names`` is empty.
        """
        await self._deployment.set_faults(names=names, **faults)
        try:
            has_taken = await self._are_in_effect(names, faults)
            await asyncio.sleep(hold_s)
        finally:
            await self.remove(names)
        return has_taken

    async def remove(self, names: list[str]) -> None:
        """Restore the links ``names``; silenced connections stay silent."""
        await self._deployment.set_faults(names=names, **_NO_FAULTS)

    async def remove_all(self) -> None:
        """Restore all links; silenced connections stay silent."""
        await self.remove(list(self._deployment.links))

    async def silence(self, names: list[str]) -> int:
        """Silence the open connections of links and return their number."""
        faults = await self._deployment.link_faults()
        await self._deployment.set_faults(names=names, silent=True)

        return sum(faults[name]['connection_count'] for name in names)

    async def _are_in_effect(
        self, names: list[str], faults: Mapping[str, Any]
    ) -> bool:
        actual = await self._deployment.link_faults()
        return bool(names) and all(
            actual[name][field] == expected
            for name in names
            for field, expected in faults.items()
        )
