"""Listening port that drops connection attempts without an answer."""

import socket
from typing import Final, final

# One connection fills an accept queue of length 0; the second is a margin.
_FILLER_CONNECTION_COUNT: Final = 2


@final
class SilentPort:
    """A listening port whose accept queue is full.

    The kernel drops further connection attempts, as the network does for an
    unreachable host. A closed port would refuse them at once.
    """

    def __init__(self, ip: str, port: int) -> None:
        """Bind the port, which must be free, and fill its queue."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(0)
        self._sockets = [listener]
        for _ in range(_FILLER_CONNECTION_COUNT):
            filler = socket.socket()
            filler.settimeout(0)
            filler.connect_ex((ip, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Free the port."""
        for each in self._sockets:
            each.close()
