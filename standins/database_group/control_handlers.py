"""HTTP calls that control and inspect a group."""

import json
from typing import Final

from tornado.web import RequestHandler

from mimosapond.codec import decode
from standins.database_group.database_group import DatabaseGroup
from standins.database_group.fault_call import FaultCall

_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409


class _GroupHandler(RequestHandler):
    def initialize(self, group: DatabaseGroup) -> None:
        """Take the group."""
        self.group = group


class PromoteHandler(_GroupHandler):
    """``POST /promote``."""

    async def post(self) -> None:
        """Promote a member and wait until it leads."""
        member_id = json.loads(self.request.body)['member_id']
        term = await self.group.promotion.promote(member_id)
        if term is None:
            self.set_status(_CONFLICT)
            self.write({'problem': f'{member_id} is not running'})
        else:
            self.write({'term': term})


class FaultHandler(_GroupHandler):
    """``POST /fault``."""

    def post(self) -> None:
        """Start a fault."""
        call = decode(FaultCall, json.loads(self.request.body))
        if self.group.play(call):
            self.write({})
        else:
            self.set_status(_BAD_REQUEST)
            self.write({'problem': 'unknown kind or member'})


class ReportHandler(_GroupHandler):
    """``GET /report``."""

    def get(self) -> None:
        """Return what the group saw so far."""
        self.write(self.group.report())
