"""Relays work to a peer, which runs it at the primary."""

import asyncio
from typing import Protocol, final

from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_client import PeerClient
from mimosapond.peers.transaction_keys import TransactionKeys
from mimosapond.routing.open_transaction import OpenTransaction
from mimosapond.routing.work_outcome import (
    WorkDone,
    WorkOutcome,
    WorkUnanswered,
)
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Success
from mimosapond.statements.statement import Begin


class _RelayCache(Protocol):
    def forget(self, group: str) -> None:
        """Drop the cached relay of a group, because it failed."""


@final
class PeerRelay:
    """A peer that has confirmed the primary; see ``Relay``."""

    def __init__(
        self,
        peer: Peer,
        client: PeerClient,
        cache: _RelayCache,
        keys: TransactionKeys,
    ) -> None:
        """Create a relay through a peer.

        Parameters
        ----------
        cache
            Is told to drop this relay when the peer gives no answer.
        keys
            Generates the keys of transactions.
        """
        self._keys = keys
        self._peer = peer
        self._client = client
        self._cache = cache

    def __str__(self) -> str:
        """Return the host name of the peer."""
        return self._peer.host

    async def read(self, work: Work) -> WorkOutcome:
        """Have the peer run a single read."""
        return self._check_outcome(
            work, await self._client.read(self._peer, work)
        )

    async def write(self, work: Work) -> WorkOutcome:
        """Have the peer run a single write."""
        return self._check_outcome(
            work, await self._client.write(self._peer, work)
        )

    def open(self, begin: Begin) -> OpenTransaction:
        """Return a transaction; the peer begins it with its first statement."""
        return _PeerTransaction(self, begin, self._keys.make())

    async def run_in_transaction(
        self, key: str, begin: Begin, work: Work, *, is_first: bool
    ) -> WorkOutcome:
        """Have the peer run a statement of a transaction.

        Parameters
        ----------
        key
            Key of the transaction at the peer.
        is_first
            Whether the peer begins the transaction with this statement.
        """
        outcome = await self._client.run_in_transaction(
            self._peer, key, begin, work, is_first=is_first
        )
        return self._check_outcome(work, outcome)

    async def commit(self, key: str, work: Work) -> WorkOutcome:
        """Have the peer commit a transaction."""
        outcome = await self._client.commit(self._peer, key, work)
        return self._check_outcome(work, outcome)

    async def roll_back(self, key: str) -> None:
        """Have the peer roll back a transaction.

        If the request is lost, the peer rolls the transaction back at its idle
        timeout.
        """
        await self._client.roll_back(self._peer, key)

    def _check_outcome(self, work: Work, outcome: WorkOutcome) -> WorkOutcome:
        if isinstance(outcome, WorkUnanswered):
            self._cache.forget(work.group.name)
        return outcome


@final
class _PeerTransaction:
    """A transaction that is open at a peer; see ``OpenTransaction``."""

    def __init__(self, relay: PeerRelay, begin: Begin, key: str) -> None:
        self._relay = relay
        self._begin = begin
        self._key = key
        self._is_open = False
        self._rollback_tasks: set[asyncio.Task[None]] = set()

    def __str__(self) -> str:
        return str(self._relay)

    async def run(self, work: Work) -> WorkOutcome:
        is_first = not self._is_open
        self._is_open = True
        outcome = await self._relay.run_in_transaction(
            self._key, self._begin, work, is_first=is_first
        )
        match outcome:
            case WorkDone(reply=Success()):
                return outcome
            case WorkUnanswered():
                self.abandon()
            case _:
                # The peer rolls back a transaction after a failure.
                self._is_open = False
        return outcome

    async def commit(self, work: Work) -> WorkOutcome:
        outcome = await self._relay.commit(self._key, work)
        if isinstance(outcome, WorkDone):
            self._is_open = False
        return outcome

    def abandon(self) -> None:
        if self._is_open:
            self._is_open = False
            task = asyncio.create_task(self._relay.roll_back(self._key))
            self._rollback_tasks.add(task)
            task.add_done_callback(self._rollback_tasks.discard)
