"""Uses a granted slot and never returns an unclean connection."""

import contextlib
from collections.abc import Iterator

from mimosapond.slot_source import HeldSlot
from mimosapond.target_connection import TargetConnection


@contextlib.contextmanager
def using_slot(grant: HeldSlot) -> Iterator[TargetConnection]:
    """Release ``grant`` at the end; an interrupted use closes it.

    Closing makes the target roll back what is open.
    """
    is_clean = False
    try:
        yield grant.connection
        is_clean = True
    finally:
        if not is_clean:
            grant.connection.close()
        grant.release(reusable=is_clean and grant.connection.is_open)
