"""HTTP endpoints by which tests and checkers control a member."""

import json
from typing import final

from tornado.web import RequestHandler

from mimosapond.codec import dump_json, encode
from standins.member_server import MemberServer


@final
class MemberSettingsHandler(RequestHandler):
    """``POST /admin/settings`` with ``lag_ms`` and ``ship_paused``."""

    def initialize(self, server: MemberServer) -> None:
        """Store the member whose settings are changed."""
        self._server = server

    async def post(self) -> None:
        """Change the given settings; respond with both settings."""
        server = self._server
        changes = json.loads(self.request.body)
        server.lag_ms = changes.get('lag_ms', server.lag_ms)
        server.is_ship_paused = changes.get(
            'ship_paused',
            server.is_ship_paused,
        )
        self.finish(
            {'lag_ms': server.lag_ms, 'ship_paused': server.is_ship_paused},
        )


@final
class MemberLogHandler(RequestHandler):
    """``GET /admin/log``: standing, complete log and counters."""

    def initialize(self, server: MemberServer) -> None:
        """Store the member to report on."""
        self._server = server

    async def get(self) -> None:
        """Respond with the current state."""
        state = self._server.state
        entries = [
            {'position': position, **encode(entry)}
            for position, entry in enumerate(state.log.entries, start=1)
        ]
        report = {
            'standing': encode(state.standing(len(state.log.entries))),
            'entries': entries,
            'counters': self._server.counters(),
        }
        self.set_header('Content-Type', 'application/json')
        self.finish(dump_json(report))
