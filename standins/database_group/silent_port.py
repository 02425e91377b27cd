"""A port on which attempts to connect get no answer."""

import socket
from typing import Final, final

# One connection fills a queue without room; a second one makes sure.
_FILLER_COUNT: Final = 2


@final
class SilentPort:
    """A listening port whose queue of new connections is full.

    The kernel drops further attempts, as the network does for a host that is
    out of reach; with a closed port they would be refused at once.
    """

    def __init__(self, ip: str, port: int) -> None:
        """Take the port, which must be free."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, port))
        listener.listen(0)
        self._sockets = [listener]
        for _ in range(_FILLER_COUNT):
            filler = socket.socket()
            filler.settimeout(0)
            filler.connect_ex((ip, port))
            self._sockets.append(filler)

    def close(self) -> None:
        """Free the port."""
        for each in self._sockets:
            each.close()
