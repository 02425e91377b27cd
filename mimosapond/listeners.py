"""The three listeners of a host: callers, peers and operators."""

from typing import Any, Final, final

from tornado.web import Application

from mimosapond.bounded_server import BoundedServer, ConnectionBounds
from mimosapond.options import Options

# Bodies above this are cut off without an answer.
_HARD_LIMIT_FACTOR: Final = 16
# No header of this interface is long; tornado's default is 64 KiB.
HEADER_LIMIT_BYTES: Final = 16_384


@final
class ListenError(Exception):
    """An address of the settings can't be used by this host."""

    def __init__(self, name: str, address: str, problem: str) -> None:
        """Name the listener, its address and the system's problem."""
        super().__init__(f'the listener for {name} at {address}: {problem}')


@final
class Listeners:
    """Opens and closes the listening sockets."""

    def __init__(self, options: Options) -> None:
        """Set the limits of all listeners."""
        self._settings: dict[str, Any] = {
            'max_body_size': options.body_limit_bytes * _HARD_LIMIT_FACTOR,
            'max_header_size': HEADER_LIMIT_BYTES,
            'body_timeout': options.header_timeout_s,
            'idle_connection_timeout': options.idle_timeout_s,
        }
        self._header_timeout_s = options.header_timeout_s
        self._servers: dict[str, BoundedServer] = {}

    def open(
        self,
        name: str,
        address: str,
        application: Application,
        limit_count: int | None = None,
    ) -> None:
        """Listen on ``address``.

        Parameters
        ----------
        name
            Names the listener in ``stop_accepting`` and in errors.
        address
            ``ip:port``.
        application
            Serves the requests.
        limit_count
            Most open connections; None for no limit.

        Raises
        ------
        ListenError
            When the address is in use, or not one of this machine.
        """
        server = BoundedServer(application, **self._settings)
        server.limit_by(
            ConnectionBounds(limit_count, self._header_timeout_s),
        )
        host, port = address.rsplit(':', 1)
        try:
            server.listen(int(port), host, reuse_port=False)
        except OSError as error:
            # The error of the system names no address.
            raise ListenError(name, address, str(error.strerror)) from error
        self._servers[name] = server

    def stop_accepting(self, name: str) -> None:
        """Close a listening socket; open connections stay open."""
        server = self._servers.get(name)
        if server is not None:
            server.stop()

    async def close(self) -> None:
        """Close all sockets and connections."""
        for server in self._servers.values():
            server.stop()
            await server.close_all_connections()
