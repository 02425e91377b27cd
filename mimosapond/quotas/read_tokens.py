"""Tokens of one read, which may be sent to several members."""

from typing import Final, TypeAlias, final

from mimosapond.groups.connection_pool import NoConnection
from mimosapond.groups.member_answer import (
    NOT_EXECUTED_KINDS,
    LinkLost,
    MemberAnswer,
    Rejected,
)
from mimosapond.quotas.quota_port import Quota
from mimosapond.routing.work import Work

Attempt: TypeAlias = MemberAnswer | NoConnection

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
        self._is_over = False

    async def take(self) -> bool:
        """Take a token for a member; return whether there was one."""
        if self._unused_count:
            self._unused_count -= 1
            return True
        return await self._quotas.take(self._work) is None

    def keep_unused(self, answer: Attempt | None) -> None:
        """Keep a token for the next member if this one did not run the read.

        Parameters
        ----------
        answer
            None if the attempt was cancelled before the read was sent.
        """
        if answer is not None and _may_have_run(answer):
            return
        self._unused_count += 1
        if self._is_over:
            self.close()

    def close(self) -> None:
        """Give back unused tokens, as the read has ended."""
        self._is_over = True
        for _ in range(self._unused_count):
            self._quotas.give_back(self._work)
        self._unused_count = 0


def _may_have_run(answer: Attempt) -> bool:
    match answer:
        case NoConnection() | LinkLost(was_sent=False):
            return False
        case Rejected(kind=kind):
            return kind not in NOT_EXECUTED_KINDS
        case _:
            return True
