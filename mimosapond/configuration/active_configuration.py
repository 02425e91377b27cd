"""The configuration in force on this host."""

import asyncio
import contextlib
from typing import Final, final

from loguru import logger

from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.route import Route

_DEFAULT_TRANSACTION_IDLE_MS: Final = 3000.0


@final
class ActiveConfiguration:
    """Holds the newest version that was seen; never goes back."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self._current: Configuration | None = None
        self._loaded = asyncio.Event()

    async def wait_until_loaded(self, limit_s: float) -> None:
        """Wait until any version is in force, or for ``limit_s``."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._loaded.wait()

    @property
    def is_loaded(self) -> bool:
        """Whether any version is in force."""
        return self._current is not None

    @property
    def version(self) -> int:
        """Version in force; -1 before the first."""
        return -1 if self._current is None else self._current.version

    @property
    def transaction_idle_ms(self) -> float:
        """How long a transaction may rest between statements."""
        if self._current is None:
            return _DEFAULT_TRANSACTION_IDLE_MS
        return self._current.transaction_idle_ms

    def route(self, database: str) -> Route | None:
        """Return the route of a database."""
        if self._current is None:
            return None
        return self._current.routes.get(database)

    def activate(self, configuration: Configuration) -> bool:
        """Take over a newer version; return whether it was newer."""
        if configuration.version <= self.version:
            return False
        logger.bind(
            version=configuration.version,
            before=self.version,
            routes=len(configuration.routes),
        ).info('configuration_in_force')
        self._current = configuration
        self._loaded.set()
        return True
