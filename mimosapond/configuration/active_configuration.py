"""The configuration in force on this host."""

import asyncio
import contextlib
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

from loguru import logger

from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.route import Route
from mimosapond.configuration.workspace import Workspace

_DEFAULT_TRANSACTION_IDLE_TIMEOUT_MS: Final = 3000.0
_NO_WORKSPACES: Final[Mapping[str, Workspace]] = MappingProxyType({})


@final
class ActiveConfiguration:
    """Holds the newest version that was seen; older versions are ignored."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._current: Configuration | None = None
        self._by_digest: Mapping[str, Workspace] = MappingProxyType({})
        self._loaded = asyncio.Event()

    async def wait_until_loaded(self, limit_s: float) -> None:
        """Wait until a version is in force, but at most ``limit_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._loaded.wait()

    @property
    def current(self) -> Configuration | None:
        """The configuration in force; None if there is none."""
        return self._current

    @property
    def is_loaded(self) -> bool:
        """Whether a version is in force."""
        return self._current is not None

    @property
    def version(self) -> int:
        """Version in force; -1 if there is none."""
        return -1 if self._current is None else self._current.version

    @property
    def transaction_idle_timeout_ms(self) -> float:
        """Longest time that a transaction may be idle between statements."""
        if self._current is None:
            return _DEFAULT_TRANSACTION_IDLE_TIMEOUT_MS
        return self._current.transaction_idle_timeout_ms

    @property
    def workspaces(self) -> Mapping[str, Workspace]:
        """Workspaces by name; none in a deployment without workspaces."""
        if self._current is None or self._current.workspaces is None:
            return _NO_WORKSPACES
        return self._current.workspaces

    def route(self, database: str) -> Route | None:
        """Return the route of a database; None if it is not configured."""
        if self._current is None:
            return None
        return self._current.routes.get(database)

    @property
    def has_workspaces(self) -> bool:
        """Whether callers need a key on routes that are not anonymous."""
        return (
            self._current is not None and self._current.workspaces is not None
        )

    def workspace_of(self, key_digest: str) -> Workspace | None:
        """Return the workspace that holds a key; None if there is none."""
        return self._by_digest.get(key_digest)

    def workspace(self, name: str) -> Workspace | None:
        """Return a workspace; None if the version in force has none such."""
        if self._current is None or self._current.workspaces is None:
            return None
        return self._current.workspaces.get(name)

    def activate(self, configuration: Configuration) -> bool:
        """Put a configuration in force if it is newer; return whether it is."""
        if configuration.version <= self.version:
            return False
        logger.bind(
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        ).info('configuration_in_force')
        self._current = configuration
        self._by_digest = MappingProxyType(_index_digests(configuration))
        self._loaded.set()
        return True


def _index_digests(configuration: Configuration) -> dict[str, Workspace]:
    return {
        digest: workspace
        for workspace in (configuration.workspaces or {}).values()
        for digest in workspace.key_digests
    }
