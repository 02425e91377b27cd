"""One interactive transaction and the connection it keeps."""

import asyncio
from typing import final

from mimosapond.peer_run import PeerRun
from mimosapond.slot_source import HeldSlot
from mimosapond.target_connection import TargetConnection


@final
class OpenTransaction:
    """Parked between calls; ends exactly once.

    Attributes
    ----------
    is_confirmed
        Whether the entry host is known to have received the transaction's
        name, so that a further call can come.
    """

    def __init__(self, run: PeerRun, grant: HeldSlot, now_s: float) -> None:
        """Keep ``grant`` until the transaction ends."""
        self.run = run
        self.grant = grant
        self.used_s = now_s
        self.lock = asyncio.Lock()
        self.is_ended = False
        self.is_confirmed = False

    @property
    def connection(self) -> TargetConnection:
        """The connection on which the transaction is open."""
        return self.grant.connection

    def end(self, *, is_clean: bool) -> None:
        """Give the connection back, or close it so the target rolls back."""
        if self.is_ended:
            return
        self.is_ended = True
        if not is_clean:
            self.connection.close()
        self.grant.release(reusable=is_clean and self.connection.is_open)
