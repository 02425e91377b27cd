"""Tokens of one read, which may be sent to several members."""

from typing import Final, TypeAlias, final

from mimosapond.groups.admission_request import NotAdmitted
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.member_answer import (
    NOT_EXECUTED_KINDS,
    LinkLost,
    MemberAnswer,
    Rejected,
)
from mimosapond.quotas.quota_port import Quota
from mimosapond.routing.work import Work

Attempt: TypeAlias = MemberAnswer | NoConnection | NotAdmitted

NO_TOKEN: Final = NoConnection(
    'the quota allows no further member', is_reachable=True
)


@final
class ReadTokens:
    """Counts each member that runs the read, but none that refused it."""

    def __init__(self, quotas: Quota, work: Work) -> None:
        """Start with the token that was taken when the read arrived."""
        self._quotas = quotas
        self._work = work
        self._unused_count = 1
        self._is_closed = False

    async def take(self) -> bool:
        """Take a token for a member; return whether there was one."""
        if self._unused_count:
            self._unused_count -= 1
            return True
        return await self._quotas.take(self._work) is None

    def settle(self, answer: Attempt | None, *, was_sent: bool) -> None:
        """Keep the token of a member for the next one if it was not used.

        Parameters
        ----------
        answer
            None if the attempt was cancelled.
        """
        if was_sent and _may_have_run(answer):
            return
        if self._is_closed:
            self._quotas.give_back(self._work)
        else:
            self._unused_count += 1

    def close(self) -> None:
        """Give back the tokens that no member needed."""
        self._is_closed = True
        for _ in range(self._unused_count):
            self._quotas.give_back(self._work)


def _may_have_run(answer: Attempt | None) -> bool:
    match answer:
        case NoConnection() | NotAdmitted() | LinkLost(was_sent=False):
            return False
        case Rejected(kind=kind):
            return kind not in NOT_EXECUTED_KINDS
        case _:
            return True
