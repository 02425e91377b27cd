"""The port of one member."""

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
        """Do not listen yet."""
        self._member = member
        self._server: asyncio.Server | None = None
        self._silent: SilentPort | None = None

    @property
    def is_silent(self) -> bool:
        """Whether attempts to connect get no answer."""
        return self._silent is not None

    async def start(self) -> None:
        """Listen."""
        self._free_port()
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, _LOOPBACK, self._member.place.port
        )

    def silence(self) -> None:
        """Leave attempts to connect without an answer until the next start."""
        self._free_port()
        self._silent = SilentPort(_LOOPBACK, self._member.place.port)

    def stop(self) -> None:
        """Close the port and all connections."""
        self._free_port()
        for connection in tuple(self._member.opened):
            connection.abort()

    def _free_port(self) -> None:
        if self._server is not None:
            self._server.close()
        if self._silent is not None:
            self._silent.close()
        self._silent = None

    def _accept(self) -> WireConnection:
        return WireConnection(self._member)
