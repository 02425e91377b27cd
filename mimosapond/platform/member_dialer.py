"""Opens connections to members on the platform's wire."""

import asyncio
import itertools
from typing import Final, final

from tornado.tcpclient import TCPClient

from mimosapond.address_resolver import AddressResolver
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

_CALLER_NAME: Final = 'mimosapond'


@final
class WireMemberDialer:
    """Opens connections to members; see ``MemberDialer``."""

    def __init__(
        self, connect_timeout_s: float, start_timeout_s: float
    ) -> None:
        """Take the limits of the two steps.

        Parameters
        ----------
        connect_timeout_s
            Until the network answers; short, as a silent address is common.
        start_timeout_s
            Until the member is ready; it may work on others before.
        """
        self._connect_timeout_s = connect_timeout_s
        self._start_timeout_s = start_timeout_s
        self._client = TCPClient(AddressResolver())
        self._connection_numbers = itertools.count(1)

    async def dial(
        self, record: MemberRecord
    ) -> WireMemberConnection | Rejected | LinkLost:
        """Open a connection to exactly this life of the member."""
        try:
            stream = await self._client.connect(
                record.ip, record.port, timeout=self._connect_timeout_s
            )
        except (OSError, TimeoutError) as error:
            return LinkLost(f'connect: {error!r}')
        lines = LineStream(stream)
        try:
            async with asyncio.timeout(self._start_timeout_s):
                return await self._start_session(lines, record)
        except TimeoutError:
            lines.close()
            return LinkLost('start: no answer in time')
        except CONNECTION_ERRORS as error:
            lines.close()
            return LinkLost(f'start: {error!r}')

    async def _start_session(
        self, lines: LineStream, record: MemberRecord
    ) -> WireMemberConnection | Rejected:
        await lines.write(
            f'START {record.group} {_CALLER_NAME} {record.member_id}'
        )
        word, _, rest = (await lines.read()).partition(' ')
        if word == 'READY':
            name = f'{record.member_id}#{next(self._connection_numbers)}'
            return WireMemberConnection(name, lines)
        lines.close()
        if word != 'ERROR':
            raise NoMessageError(word)
        return decode_rejection(rest, SessionState.idle, None)
