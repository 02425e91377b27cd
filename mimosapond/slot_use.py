"""Releases a granted slot without reusing an unclean connection."""

import contextlib
from collections.abc import Iterator

from mimosapond.slot_source import HeldSlot
from mimosapond.target_connection import TargetConnection


@contextlib.contextmanager
def using_slot(grant: HeldSlot) -> Iterator[TargetConnection]:
    """Yield the connection of ``grant`` and release the grant at the end.

    If the block raises or is cancelled, the connection is closed. The target
    then rolls back any open transaction.
    """
    is_clean = False
    try:
        yield grant.connection
        is_clean = True
    finally:
        if not is_clean:
            grant.connection.close()
        grant.release(reusable=is_clean and grant.connection.is_open)
