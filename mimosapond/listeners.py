"""Opens and closes the listeners of a host."""

from typing import Any, Final, final

from tornado.web import Application

from mimosapond.bounded_server import BoundedServer, ConnectionBounds
from mimosapond.options import Options

# A body above the body limit is refused with an answer. For a body above this
# multiple of the limit, the connection is closed without an answer.
_HARD_BODY_LIMIT_FACTOR: Final = 16
# Requests need only short headers, and Tornado would accept 64 KiB.
HEADER_LIMIT_BYTES: Final = 16_384


@final
class ListenError(Exception):
    """A listener of the settings could not be opened."""

    def __init__(self, name: str, address: str, problem: str) -> None:
        """Describe the failure.

        Parameters
        ----------
        name
            Who the listener is for, such as ``callers``.
        address
            ``ip:port``.
        problem
            Error message of the operating system.
        """
        super().__init__(f'the listener for {name} at {address}: {problem}')


@final
class Listeners:
    """The listeners of a host, by name."""

    def __init__(self, options: Options) -> None:
        """Set the size limits and timeouts of all listeners."""
        self._settings: dict[str, Any] = {
            'max_body_size': options.body_limit_bytes * _HARD_BODY_LIMIT_FACTOR,
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
            Maximum number of open connections; None for no limit.

        Raises
        ------
        ListenError
            If the address is in use, or is not an address of this machine.
        """
        server = BoundedServer(application, **self._settings)
        server.limit_connections(
            ConnectionBounds(limit_count, self._header_timeout_s),
        )
        host, port = address.rsplit(':', 1)
        try:
            server.listen(int(port), host, reuse_port=False)
        except OSError as error:
            # The message of the operating system does not contain the address.
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
