"""Opens connections to members in the platform's wire protocol."""

import asyncio
import itertools
from typing import Final, final

from tornado.tcpclient import TCPClient

from mimosapond.address_resolver import AddressResolver
from mimosapond.entry.host_resources import default_resources
from mimosapond.entry.memory_lanes import MemoryAccount, MemoryLanes
from mimosapond.groups.member_answer import LinkLost, Rejected
from mimosapond.groups.member_record import MemberRecord
from mimosapond.platform.line_stream import LineStream
from mimosapond.platform.member_connection import (
    CONNECTION_ERRORS,
    NoMessageError,
    WireMemberConnection,
    decode_rejection,
)
from mimosapond.statements.reply import SessionState

# Name under which connections without a workspace are opened.
_CALLER_NAME: Final = 'mimosapond'


@final
class WireMemberDialer:
    """Opens connections to members; implements ``MemberDialer``."""

    def __init__(
        self,
        connect_timeout_s: float,
        start_timeout_s: float,
        lanes: MemoryLanes | None = None,
    ) -> None:
        """Set the timeouts.

        Parameters
        ----------
        connect_timeout_s
            Limit of the TCP connect. It is short, since addresses that do
            not answer are common.
        start_timeout_s
            Limit from the TCP connect until the member is ready. It is
            longer, since the member may serve other connections first.
        lanes
            Memory for answers; by default, that of a host whose settings name
            none.
        """
        self._connect_timeout_s = connect_timeout_s
        self._start_timeout_s = start_timeout_s
        self._lanes = lanes or default_resources().answers
        self._client = TCPClient(AddressResolver())
        self._connection_numbers = itertools.count(1)

    async def dial(
        self, record: MemberRecord, workspace: str = ''
    ) -> WireMemberConnection | Rejected | LinkLost:
        """Open a connection to the member process that ``record`` describes.

        A member has a new id after each start, and a process with another id
        at the same address rejects the connection.
        """
        try:
            stream = await self._client.connect(
                record.ip, record.port, timeout=self._connect_timeout_s
            )
        except (OSError, TimeoutError) as error:
            return LinkLost(f'connect: {error!r}')
        lines = LineStream(
            stream, MemoryAccount(self._lanes), MemoryAccount(self._lanes)
        )
        try:
            async with asyncio.timeout(self._start_timeout_s):
                return await self._start_session(
                    lines, record, workspace or _CALLER_NAME
                )
        except TimeoutError:
            lines.close()
            return LinkLost('start: the member did not answer in time')
        except CONNECTION_ERRORS as error:
            lines.close()
            return LinkLost(f'start: {error!r}')

    async def _start_session(
        self, lines: LineStream, record: MemberRecord, caller: str
    ) -> WireMemberConnection | Rejected:
        await lines.write(f'START {record.group} {caller} {record.member_id}')
        word, _, rest = (await lines.read()).partition(' ')
        if word == 'READY':
            name = f'{record.member_id}#{next(self._connection_numbers)}'
            return WireMemberConnection(name, lines)
        lines.close()
        if word != 'ERROR':
            raise NoMessageError(word)
        return decode_rejection(rest, SessionState.idle, None)
