"""Work that a peer carries out at a primary."""

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
        """Have peers asked again, as the known one failed."""


@final
class PeerRelay:
    """One peer that has proven the primary; see ``Relay``."""

    def __init__(
        self,
        peer: Peer,
        client: PeerClient,
        finder: _RelayCache,
        keys: TransactionKeys,
    ) -> None:
        """Take the peer and what to tell of its failure."""
        self._keys = keys
        self._peer = peer
        self._client = client
        self._finder = finder

    def __str__(self) -> str:
        """Return the name of the host."""
        return self._peer.host

    async def read(self, work: Work) -> WorkOutcome:
        """Have a single read carried out."""
        return self._note_outcome(
            work, await self._client.read(self._peer, work)
        )

    async def write(self, work: Work) -> WorkOutcome:
        """Have a single write carried out."""
        return self._note_outcome(
            work, await self._client.write(self._peer, work)
        )

    def open(self, begin: Begin) -> OpenTransaction:
        """Return a transaction, which begins with its first statement."""
        return _PeerTransaction(self, begin, self._keys.make())

    async def run_in(
        self, key: str, begin: Begin, work: Work, *, is_first: bool
    ) -> WorkOutcome:
        """Run a statement of a transaction."""
        outcome = await self._client.run_in(
            self._peer, key, begin, work, is_first=is_first
        )
        return self._note_outcome(work, outcome)

    async def commit(self, key: str, work: Work) -> WorkOutcome:
        """End a transaction."""
        outcome = await self._client.commit(self._peer, key, work)
        return self._note_outcome(work, outcome)

    async def roll_back(self, key: str) -> None:
        """Have a transaction rolled back; an idle one ends by itself."""
        await self._client.roll_back(self._peer, key)

    def _note_outcome(self, work: Work, outcome: WorkOutcome) -> WorkOutcome:
        if isinstance(outcome, WorkUnanswered):
            self._finder.forget(work.group.name)
        return outcome


@final
class _PeerTransaction:
    """See ``OpenTransaction``."""

    def __init__(self, relay: PeerRelay, begin: Begin, key: str) -> None:
        self._relay = relay
        self._begin = begin
        self._key = key
        self._is_open = False
        self._tasks: set[asyncio.Task[None]] = set()

    def __str__(self) -> str:
        return str(self._relay)

    async def run(self, work: Work) -> WorkOutcome:
        is_first = not self._is_open
        self._is_open = True
        outcome = await self._relay.run_in(
            self._key, self._begin, work, is_first=is_first
        )
        match outcome:
            case WorkDone(reply=Success()):
                return outcome
            case WorkUnanswered():
                self.abandon()
            case _:
                # The peer has rolled it back.
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
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
