"""Listening port of one member."""

import asyncio
from typing import Final, final

from standins.database_group.group_member import GroupMember
from standins.database_group.silent_port import SilentPort
from standins.database_group.wire_connection import WireConnection

_LOOPBACK: Final = '127.0.0.1'


@final
class MemberListener:
    """Accepts connections while the member runs."""

    def __init__(self, member: GroupMember) -> None:
        """Store the member without listening."""
        self._member = member
        self._server: asyncio.Server | None = None
        self._silent: SilentPort | None = None

    @property
    def is_silent(self) -> bool:
        """Whether connection attempts are dropped without an answer."""
        return self._silent is not None

    async def start(self) -> None:
        """Listen on the port of the member."""
        self._release_port()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, _LOOPBACK, self._member.endpoint.port
        )

    def silence(self) -> None:
        """Drop connection attempts without an answer until the next start."""
        self._release_port()
        self._silent = SilentPort(_LOOPBACK, self._member.endpoint.port)

    def stop(self) -> None:
        """Close the port and all connections."""
        self._release_port()
        for connection in tuple(self._member.open_connections):
            connection.abort()

    def _release_port(self) -> None:
        if self._server is not None:
            self._server.close()
        if self._silent is not None:
            self._silent.close()
        self._silent = None

    def _accept(self) -> WireConnection:
        return WireConnection(self._member)
