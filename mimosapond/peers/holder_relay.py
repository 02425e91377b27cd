"""Passes work on to the hosts that hold a group."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group import Group
from mimosapond.peers.holder_directory import HolderDirectory
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.peer_relay import PeerRelay
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.routing import failures
from mimosapond.routing.open_transaction import OpenTransaction
from mimosapond.routing.work import Work
from mimosapond.routing.work_outcome import (
    WorkDone,
    WorkOutcome,
    WorkUnanswered,
)
from mimosapond.statements.reply import Failure, FailureKind
from mimosapond.statements.statement import Begin

# Hosts that one request is passed on to at most, one after another.
_ATTEMPT_COUNT: Final = 3
# Share of the remaining time after which a read is also sent to a second host,
# as the first may be suspended.
_HEDGE_RATIO: Final = 0.4

_ReadTask = asyncio.Task[WorkOutcome]


@final
class HolderRelayFinder:
    """Finds the holders that work is passed on to.

    Work without a workspace is run here if this host holds the group. That of
    a workspace goes to the holders which have connections for it.
    """

    def __init__(
        self,
        holders: HolderDirectory,
        client: PeerClient,
        keys: TransactionKeys,
        now: Now,
        quota_ratio: Callable[[str], float],
    ) -> None:
        """Create a finder.

        Parameters
        ----------
        client
            Sends the requests to other hosts.
        keys
            Generates the keys of transactions.
        quota_ratio
            Tells the share of a workspace in the quotas of all.
        """
        self._quota_ratio = quota_ratio
        self._holders = holders
        self._client = client
        self._keys = keys
        self._now = now

    def find(
        self, group: Group, workspace: str = ''
    ) -> 'HolderRelay | Failure | None':
        """Return the holders of a group; see ``HolderFinder``."""
        peers = self._find_peers(group.name, workspace)
        if peers is None:
            return None
        if not peers:
            return failures.NO_HOLDER
        relays = [
            PeerRelay(peer, self._client, self, self._keys) for peer in peers
        ]
        return HolderRelay(relays, self._now)

    def forget(self, group: str) -> None:
        """Do nothing: the peer directory records which peers fail."""

    def _find_peers(self, group: str, workspace: str) -> list[Peer] | None:
        """Return the hosts to pass work on to; None to run it here."""
        if workspace:
            return self._holders.workspace_candidates(
                group, workspace, self._quota_ratio(workspace)
            )
        if self._holders.holds(group):
            return self._holders.trial_candidates(group) or None
        return self._holders.candidates(group)


@final
class HolderRelay:
    """The holders of a group that can be reached; implements ``Relay``."""

    def __init__(self, relays: list[PeerRelay], now: Now) -> None:
        """Create a relay.

        Parameters
        ----------
        relays
            One for each holder, the preferred one first; at least one.
        """
        self._relays = relays[:_ATTEMPT_COUNT]
        self._now = now

    def __str__(self) -> str:
        """Return the host name of the preferred holder."""
        return str(self._relays[0])

    async def read(self, work: Work) -> WorkOutcome:
        """Run a read at a holder, and at another one if that takes long."""
        tasks: list[_ReadTask] = []
        outcome: WorkOutcome = WorkUnanswered('not sent', was_sent=False)
        try:
            for relay in self._relays:
                tasks.append(asyncio.create_task(relay.read(work)))
                left_s = work.deadline_s - self._now()
                is_hedged = sum(not task.done() for task in tasks) > 1
                wait_s = left_s if is_hedged else left_s * _HEDGE_RATIO
                outcome = await _first_final(tasks, wait_s, outcome)
                if _is_final(outcome) or self._now() >= work.deadline_s:
                    return outcome
            left_s = work.deadline_s - self._now()
            return await _first_final(tasks, left_s, outcome)
        finally:
            for task in tasks:
                task.cancel()

    async def write(self, work: Work) -> WorkOutcome:
        """Run a write at a holder, and at another one only if none ran it."""
        outcome: WorkOutcome = WorkUnanswered('not sent', was_sent=False)
        for relay in self._relays:
            outcome = await relay.write(work)
            has_time = self._now() < work.deadline_s
            if _is_final(outcome) or _may_have_run(outcome) or not has_time:
                return outcome
        return outcome

    def open(self, begin: Begin) -> OpenTransaction:
        """Return a transaction at the preferred holder."""
        return self._relays[0].open(begin)


def _is_final(outcome: WorkOutcome) -> bool:
    """Return whether no other holder should be asked."""
    match outcome:
        case WorkDone(reply=Failure(kind=FailureKind.not_run) as failure):
            # The quota is the same at all hosts.
            return failures.is_over_quota(failure)
        case WorkDone():
            return True
        case WorkUnanswered():
            return False


def _may_have_run(outcome: WorkOutcome) -> bool:
    return isinstance(outcome, WorkUnanswered) and outcome.was_sent


async def _first_final(
    tasks: list[_ReadTask], limit_s: float, earlier: WorkOutcome
) -> WorkOutcome:
    """Wait for a final outcome of any task, at most ``limit_s``.

    Returns
    -------
    WorkOutcome
        The final outcome. Without one, the last other outcome, which may be
        the earlier one, or that the read is unanswered if it still runs.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    outcome = earlier
    pending = {task for task in tasks if not task.done()}
    while pending and loop.time() < end_s:
        done, pending = await asyncio.wait(
            pending,
            timeout=max(end_s - loop.time(), 0),
            return_when=asyncio.FIRST_COMPLETED,
        )
        for task in done:
            outcome = task.result()
            if _is_final(outcome):
                return outcome
    if pending:
        return WorkUnanswered('no answer yet', was_sent=True)
    return outcome
