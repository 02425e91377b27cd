"""Composition of one member: HTTP application and shipping tasks."""

import asyncio
from typing import Final, final

from tornado.httpserver import HTTPServer
from tornado.web import Application

from mimosapond.json_link import MAX_MESSAGE_BYTES
from mimosapond.json_link_server import JsonLinkHandler
from standins.member_admin_handlers import (
    MemberLogHandler,
    MemberSettingsHandler,
)
from standins.member_control import MemberControl
from standins.member_data_handler import MemberDataHandler
from standins.member_server import MemberServer
from standins.member_settings import MemberSettings
from standins.member_shipper import MemberShipper


def _application(server: MemberServer) -> Application:
    shared = {'server': server}
    control = MemberControl(server.state)
    return Application(
        [
            ('/data', MemberDataHandler, shared),
            (
                '/control',
                JsonLinkHandler,
                {'operations': control.operations, 'secret': None},
            ),
            ('/admin/settings', MemberSettingsHandler, shared),
            ('/admin/log', MemberLogHandler, shared),
        ],
        websocket_max_message_size=MAX_MESSAGE_BYTES,
    )


@final
class MemberApplication:
    """A member that listens from ``start`` to ``stop``."""

    def __init__(self, settings: MemberSettings) -> None:
        """Build the member without listening."""
        self.server: Final = MemberServer(settings)
        self._http = HTTPServer(_application(self.server))
        self._shippers: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Listen, and ship the log to each peer."""
        settings = self.server.settings
        host, port = settings.address.rsplit(':', 1)
        self._http.listen(int(port), host)
        self._shippers = [
            asyncio.create_task(MemberShipper(self.server, peer).run())
            for peer in settings.peers
        ]

    async def stop(self) -> None:
        """Stop listening and close the connections."""
        for shipper in self._shippers:
            shipper.cancel()
        self._http.stop()
        await self._http.close_all_connections()
