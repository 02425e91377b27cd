"""Opens the callers' port before the rest of the program is loaded.

Callers that connect while a restarted host loads its modules then wait for some
tenths of a second. Without a listener each connection attempt is refused at
once, and a caller has used up its few attempts before the host serves.
"""

import socket
from typing import Final

_BACKLOG_COUNT: Final = 1024


def open_caller_listener(address: str) -> socket.socket:
    """Return a listening, non-blocking socket.

    Parameters
    ----------
    address
        ``ip:port``.
    """
    ip, _, port = address.rpartition(':')
    listener = socket.create_server((ip, int(port)), backlog=_BACKLOG_COUNT)
    listener.setblocking(False)  # noqa: FBT003 -- the library's own signature
    return listener
