"""Opens the connections of a pool to its member."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeAlias, final

import attrs
from loguru import logger

from mimosapond.groups.dial_pace import DialPace
from mimosapond.groups.member_answer import LinkLost, Rejected, RejectionKind
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_port import MemberConnection, MemberDialer
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.pooled_connection import PooledConnection

_MS_PER_S: Final = 1000


@final
@attrs.frozen
class DialRefused:
    """The member accepts no further connection at present."""


@final
@attrs.frozen
class DialFailed:
    """No connection to the member can be opened.

    Parameters
    ----------
    reason
        Cause for log lines.
    """

    reason: str


DialEnd: TypeAlias = PooledConnection | DialRefused | DialFailed


@final
class ConnectionDialing:
    """Opens connections in the background, at the pace that the member allows.

    Parameters
    ----------
    load
        Learns from each attempt to connect whether the member is reachable.
    on_end
        Called at the end of each attempt.
    """

    def __init__(
        self,
        record: MemberRecord,
        dialer: MemberDialer,
        load: MemberLoad,
        pace: DialPace,
        on_end: Callable[[DialEnd], None],
    ) -> None:
        """Start without attempts."""
        self._record = record
        self._dialer = dialer
        self._load = load
        self._pace = pace
        self._on_end = on_end
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, workspace: str, delay_s: float) -> None:
        """Open a connection in the background, after a delay."""
        self._pace.start(workspace)
        task = asyncio.create_task(self._run(workspace, delay_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, workspace: str, delay_s: float) -> None:
        if delay_s:
            await asyncio.sleep(delay_s)
        outcome = await self._dial_safely(workspace)
        self._pace.end(workspace)
        self._on_end(self._conclude(outcome, workspace))

    async def _dial_safely(
        self, workspace: str
    ) -> MemberConnection | Rejected | LinkLost:
        """Dial; an unexpected error must not keep its place under the limit."""
        try:
            return await self._dialer.dial(self._record, workspace)
        except Exception as error:  # noqa: BLE001 -- waiters need an answer
            logger.bind(member=self._record.member_id).exception('dial_failed')
            return LinkLost(repr(error), was_sent=False)

    def _conclude(
        self, outcome: MemberConnection | Rejected | LinkLost, workspace: str
    ) -> DialEnd:
        match outcome:
            case Rejected(kind=RejectionKind.wrong_member, text=text):
                return DialFailed(text)
            case Rejected(kind=kind):
                self._load.record_contact(None)
                self._record_refusal(kind)
                return DialRefused()
            case LinkLost(reason=reason):
                self._load.is_unreachable = True
                self._load.identity.record_loss(self._load.last_contact_s)
                logger.bind(member=self._record.member_id, reason=reason).debug(
                    'member_connection_failed'
                )
                return DialFailed(reason)
            case _:
                preceding_contact_s = self._load.last_contact_s
                self._load.record_contact(None)
                self._pace.record_success()
                return PooledConnection(
                    outcome,
                    self._load,
                    opened_s=self._load.last_contact_s,
                    preceding_contact_s=preceding_contact_s,
                    workspace=workspace,
                )

    def _record_refusal(self, kind: RejectionKind) -> None:
        back_off_s = self._pace.record_refusal()
        if back_off_s is not None:
            logger.bind(
                member=self._record.member_id,
                kind=kind.value,
                back_off_ms=round(back_off_s * _MS_PER_S),
            ).info('member_connection_refused')
