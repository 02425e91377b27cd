"""The three listeners of a host: callers, peers and operators."""

from typing import Any, Final, final

from tornado.httpserver import HTTPServer
from tornado.web import Application

# Bodies above this are cut off without an answer.
_HARD_LIMIT_FACTOR: Final = 16


@final
class Listeners:
    """Opens and closes the listening sockets."""

    def __init__(
        self,
        body_limit_bytes: int,
        header_timeout_s: float,
    ) -> None:
        """Set the limits of all listeners."""
        self._settings: dict[str, Any] = {
            'max_body_size': body_limit_bytes * _HARD_LIMIT_FACTOR,
            'body_timeout': header_timeout_s,
            'idle_connection_timeout': 3600,
        }
        self._servers: dict[str, HTTPServer] = {}

    def open(self, name: str, address: str, application: Application) -> None:
        """Listen on ``address``."""
        server = HTTPServer(application, **self._settings)
        host, port = address.rsplit(':', 1)
        server.listen(int(port), host, reuse_port=False)
        self._servers[name] = server

    def refuse_new(self, name: str) -> None:
        """Close a listening socket; open connections go on."""
        server = self._servers.get(name)
        if server is not None:
            server.stop()

    async def close(self) -> None:
        """Close all sockets and connections."""
        for server in self._servers.values():
            server.stop()
            await server.close_all_connections()
