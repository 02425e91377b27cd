"""Reads and watches the operators' configuration in the platform's store."""

from typing import Final, final

from loguru import logger

from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.configuration_source import (
    Progress,
    SourceAnswer,
    SourceGap,
    SourceState,
    SourceUnavailable,
    ignore_progress,
)
from mimosapond.platform.configuration_codec import decode_configuration
from mimosapond.platform.store_client import StoreClient, Transfer
from mimosapond.platform.store_rows import (
    HistoryTruncated,
    StoredRows,
    Unavailable,
)

_TABLE: Final = 'op'
_KEY: Final = 'config'
_READ_TIMEOUT_S: Final = 1.0
# Time that a large configuration may take on a slow link once it has begun to
# arrive. A store that sends it is not silent.
_TRANSFER_S: Final = 2.5
# Time for the network, beyond the time that the store is asked to wait.
_FOLLOW_MARGIN_S: Final = 0.5


@final
class StoreConfiguration:
    """Source of configurations; implements ``ConfigurationSource``."""

    def __init__(self, store: StoreClient) -> None:
        """Create a source that reads from ``store``."""
        self._store = store

    async def read(
        self, on_progress: Progress = ignore_progress
    ) -> SourceAnswer:
        """Return the current configuration."""
        return _decode_answer(
            await self._store.read_table(
                _TABLE, _READ_TIMEOUT_S, Transfer(_TRANSFER_S, on_progress)
            )
        )

    async def follow(
        self,
        cursor: int,
        wait_s: float,
        on_progress: Progress = ignore_progress,
    ) -> SourceAnswer:
        """Wait for a change of the configuration.

        Parameters
        ----------
        cursor
            ``SourceState.cursor`` of the last answer.
        wait_s
            How long to wait for a change. After that, the answer has no
            configuration.
        """
        return _decode_answer(
            await self._store.wait_for_changes(
                _TABLE,
                cursor,
                wait_s,
                wait_s + _FOLLOW_MARGIN_S,
                Transfer(_TRANSFER_S, on_progress),
            ),
        )


def _decode_answer(
    found: StoredRows | HistoryTruncated | Unavailable,
) -> SourceAnswer:
    match found:
        case HistoryTruncated():
            return SourceGap()
        case Unavailable(reason=reason):
            return SourceUnavailable(reason)
        case StoredRows(version=version):
            return SourceState(_newest_configuration(found), version)


def _newest_configuration(found: StoredRows) -> Configuration | None:
    newest = None
    for row in found.rows:
        if row.key != _KEY or row.content is None:
            continue
        decoded = decode_configuration(row.content)
        if isinstance(decoded, Configuration):
            newest = decoded
        else:
            logger.bind(problem=decoded).error('configuration_unreadable')
    return newest
