"""Cuts links of the fault proxy and checks that they are cut."""

import asyncio
from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Any, Final, final

from loadtool.deployment import Deployment

_PLATFORM: Final = 'platform'
_HEALED: Final[Mapping[str, Any]] = MappingProxyType(
    {'cut': False, 'cut_to_target': False, 'cut_to_client': False}
)


@final
class ProofLinks:
    """Chooses links by the processes at their ends."""

    def __init__(self, deployment: Deployment) -> None:
        """Take a deployment that was started with the proxy."""
        self._deployment = deployment

    def touching(self, name: str) -> list[str]:
        """Return all links from or to a process."""
        return [
            link for link in self._deployment.links if name in link.split('>')
        ]

    def between(self, name: str, others: Collection[str]) -> list[str]:
        """Return the links between a process and some others."""
        return [
            link
            for link in self.touching(name)
            if not set(others).isdisjoint(set(link.split('>')) - {name})
        ]

    def leaving(self, data_centre: str) -> list[str]:
        """Return the links with one end in ``data_centre``."""
        inside = {
            host.name
            for host in self._deployment.hosts
            if host.data_centre == data_centre
        }
        inside.update(
            member.name
            for group in self._deployment.groups
            for member in group.members
            if member.data_centre == data_centre
        )
        return [
            link
            for link in self._deployment.links
            if len(inside.intersection(link.split('>'))) == 1
        ]

    async def hold(
        self,
        names: list[str],
        hold_s: float,
        **faults: Any,
    ) -> bool:
        """Put faults into force; tells whether the proxy showed them."""
        await self._deployment.set_faults(names=names, **faults)
        try:
            has_taken = await self._shows(names, faults)
            await asyncio.sleep(hold_s)
        finally:
            await self.heal(names)
        return has_taken

    async def heal(self, names: list[str]) -> None:
        """End the faults of some links."""
        await self._deployment.set_faults(names=names, **_HEALED)

    async def heal_all(self) -> None:
        """End the faults of all links."""
        await self.heal(list(self._deployment.links))

    async def silence(self, names: list[str]) -> int:
        """Silence open connections; returns how many were open."""
        before = await self._deployment.link_faults()
        await self._deployment.set_faults(names=names, silent=True)

        return sum(before[name]['connection_count'] for name in names)

    async def _shows(self, names: list[str], faults: Mapping[str, Any]) -> bool:
        seen = await self._deployment.link_faults()
        return bool(names) and all(
            seen[name][field] == expected
            for name in names
            for field, expected in faults.items()
        )
