"""An interactive transaction and its target connection."""

import asyncio
from typing import final

from mimosapond.peer_run import PeerRun
from mimosapond.slot_source import HeldSlot
from mimosapond.target_connection import TargetConnection


@final
class OpenTransaction:
    """State of an interactive transaction, which ends exactly once.

    Its grant is parked between calls.

    Attributes
    ----------
    last_used_s
        Monotonic time at which the last call ended.
    is_confirmed
        Whether the entry host is known to have received the transaction's
        name, so that further calls are possible.
    """

    def __init__(self, run: PeerRun, grant: HeldSlot, now_s: float) -> None:
        """Keep ``grant`` until the transaction ends."""
        self.run = run
        self.grant = grant
        self.last_used_s = now_s
        self.lock = asyncio.Lock()
        self.is_ended = False
        self.is_confirmed = False

    @property
    def connection(self) -> TargetConnection:
        """The connection on which the transaction is open."""
        return self.grant.connection

    def end(self, *, is_clean: bool) -> None:
        """Release the connection; a second call does nothing.

        Parameters
        ----------
        is_clean
            Whether the target has ended the transaction. If not, the
            connection is closed, which makes the target roll back.
        """
        if self.is_ended:
            return
        self.is_ended = True
        if not is_clean:
            self.connection.close()
        self.grant.release(reusable=is_clean and self.connection.is_open)
