"""The port of one member."""

import asyncio
from typing import Final, final

from standins.database_group.group_member import GroupMember
from standins.database_group.wire_connection import WireConnection

_LOOPBACK: Final = '127.0.0.1'


@final
class MemberListener:
    """Accepts connections while the member runs."""

    def __init__(self, member: GroupMember) -> None:
        """Do not listen yet."""
        self._member = member
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, _LOOPBACK, self._member.place.port
        )

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._member.opened):
            connection.abort()

    def _accept(self) -> WireConnection:
        return WireConnection(self._member)
