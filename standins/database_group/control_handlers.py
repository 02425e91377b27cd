"""HTTP handlers that control and inspect a group."""

import json
from typing import Final

from tornado.web import RequestHandler

from mimosapond.codec import decode
from standins.database_group.database_group import DatabaseGroup
from standins.database_group.fault_call import FaultCall
from standins.database_group.promotion_call import PromotionCall

_BAD_REQUEST: Final = 400
_CONFLICT: Final = 409


class _GroupHandler(RequestHandler):
    def initialize(self, group: DatabaseGroup) -> None:
        """Store the group that the handler acts on."""
        self.group = group


class PromoteHandler(_GroupHandler):
    """``POST /promote``: promote a member; the body is a ``PromotionCall``."""

    async def post(self) -> None:
        """Promote a member and respond with its term once it is primary.

        The response is 409 if the member does not exist or does not run.
        """
        call = decode(PromotionCall, json.loads(self.request.body))
        term = await self.group.promotion.promote(call)
        if term is None:
            self.set_status(_CONFLICT)
            self.write({'problem': f'{call.member_id} is not running'})
        else:
            self.write({'term': term})


class FaultHandler(_GroupHandler):
    """``POST /fault``: inject a fault; the body is a ``FaultCall``."""

    def post(self) -> None:
        """Start the fault; 400 if its kind or the member is unknown."""
        call = decode(FaultCall, json.loads(self.request.body))
        if self.group.inject_fault(call):
            self.write({})
        else:
            self.set_status(_BAD_REQUEST)
            self.write({'problem': 'unknown kind or member'})


class ReceiptsHandler(_GroupHandler):
    """``POST /receipts``: the members that requests have reached."""

    def post(self) -> None:
        """Respond with the receipts of the listed ``request_ids``."""
        request_ids = json.loads(self.request.body)['request_ids']
        self.write({'receipts': self.group.receipts.find(request_ids)})


class ReportHandler(_GroupHandler):
    """``GET /report``: violations, counts, commits and members."""

    def get(self) -> None:
        """Respond with the report of everything since the start."""
        self.write(self.group.report())
