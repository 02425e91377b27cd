"""Gossip: the changes that hosts add to their messages and receive with them.

Each host sends a change that it has learned about 3 log2(n) times, where n is
the number of hosts. This reaches all hosts with high probability, and the size
of a message does not grow with the number of hosts. The anti-entropy exchange
delivers changes that did not reach every host.
"""

import asyncio
import json
import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, Final, final

from mimosapond.codec import dump_json
from mimosapond.document_sync import DocumentSync
from mimosapond.gossip_change import (
    GossipChange,
    change_key,
    decode_change,
    encode_change,
)
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.leaving_target import LeavingTarget
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.membership import Membership
from mimosapond.queued_change import QueuedChange

# There are four messages per host in each probe period. At a period of 1 s this
# leaves room for pushes within the traffic limit of 3 KB/s.
MESSAGE_LIMIT_BYTES: Final = 540
# Reserved for the call envelope and the fields that an operation adds.
_ENVELOPE_BYTES: Final = 60
_RETRANSMIT_FACTOR: Final = 3
# A longer batch comes from a catch-up and holds old changes that other hosts
# already know, so it is not queued for sending.
_BULK_CHANGE_COUNT: Final = 32


def _is_urgent(change: GossipChange) -> bool:
    match change:
        case HostRecord(state=HostState.LEAVING):
            return True
        case HostRecord(state=HostState.ALIVE):
            # A refutation must spread faster than the suspicion that it
            # refutes.
            return change.incarnation > 0
        case HostRecord():
            return False
        case _:
            return True


@final
class GossipState:
    """Queues recent changes for sending and applies received changes."""

    def __init__(
        self,
        membership: Membership,
        views: GroupViews,
        leaving: LeavingTargets,
        documents: DocumentSync,
    ) -> None:
        """Subscribe to the changes of hosts, group views and targets."""
        self._membership = membership
        self._views = views
        self._leaving = leaving
        self._documents = documents
        self._queue: dict[tuple[str, str], QueuedChange] = {}
        self._urgent: dict[GossipChange, bool] = {}
        self._urgent_event = asyncio.Event()
        self._received: set[GossipChange] = set()
        self._bulk_received: set[GossipChange] = set()
        membership.subscribe(self._enqueue)
        views.subscribe(self._enqueue)
        leaving.subscribe(self._enqueue)

    def changes(self) -> list[GossipChange]:
        """Return the whole state as changes, including dead hosts."""
        return [
            *self._membership.hosts(),
            *self._membership.dead(),
            *self._views.all(),
            *self._leaving.marks(),
        ]

    def retain_declared_targets(self) -> None:
        """Remove marks of leaving targets that no document declares.

        Does nothing while the document store is not ready.
        """
        if self._documents.store.is_ready:
            self._leaving.forget_undeclared(self._documents.member_names())

    def compose(self, receiver: str = '') -> dict[str, Any]:
        """Return a message with the changes that were sent least often.

        The message stays within ``MESSAGE_LIMIT_BYTES``.

        Parameters
        ----------
        receiver
            Host id of the receiver. If this host considers the receiver
            suspect or dead, the message says so and the receiver can refute
            it.
        """
        changes: list[list[Any]] = []
        known = self._membership.host(receiver)
        if known is not None and known.state in {
            HostState.SUSPECT,
            HostState.DEAD,
        }:
            changes.append(encode_change(known))
        message = self.envelope(changes)
        size_bytes = len(dump_json(message)) + _ENVELOPE_BYTES
        changes.extend(self._take_queued(MESSAGE_LIMIT_BYTES - size_bytes))
        return message

    def envelope(self, changes: Sequence[list[Any]]) -> dict[str, Any]:
        """Return a message with exactly the encoded ``changes``."""
        return {
            'from': encode_change(self._membership.own),
            'digest': self._documents.store.digest(),
            'changes': changes,
        }

    async def receive(self, message: Mapping[str, Any]) -> HostRecord | None:
        """Apply a received message.

        Returns
        -------
        HostRecord | None
            The record that the sender gives of itself; None if it is
            malformed.
        """
        sender = decode_change(message['from'])
        if not isinstance(sender, HostRecord):
            return None
        received = [decode_change(raw) for raw in message['changes']]
        await self._apply([sender, *received])
        self._documents.compare_digest(sender.address, message['digest'])
        return sender

    async def wait_urgent(self) -> None:
        """Wait until an urgent change is queued."""
        await self._urgent_event.wait()

    def take_urgent(self) -> tuple[list[list[Any]], bool]:
        """Remove urgent changes from the queue for one message.

        Returns
        -------
        tuple[list[list[Any]], bool]
            The encoded changes, and whether any of them originates at this
            host.
        """
        taken: list[list[Any]] = []
        is_local = False
        remaining_bytes = MESSAGE_LIMIT_BYTES - _ENVELOPE_BYTES
        while self._urgent and remaining_bytes > 0:
            change = next(iter(self._urgent))
            is_local = self._urgent.pop(change) or is_local
            encoded = encode_change(change)
            taken.append(encoded)
            remaining_bytes -= len(json.dumps(encoded))
        if not self._urgent:
            self._urgent_event.clear()
        return taken, is_local

    async def _apply(self, received: Iterable[GossipChange | None]) -> None:
        # A dict preserves the order, so that runs with the same seed are
        # identical.
        changes = dict.fromkeys(
            change for change in received if change is not None
        )
        ignored = (
            self._bulk_received
            if len(changes) > _BULK_CHANGE_COUNT
            else self._received
        )
        ignored.update(changes)
        for change in changes:
            await self._merge(change)
        ignored.difference_update(changes)

    async def _merge(self, change: GossipChange) -> None:
        match change:
            case HostRecord():
                self._membership.merge(change)
            case GroupView():
                await self._views.merge(change)
            case LeavingTarget(name=name):
                # A peer that does not have the newest document yet may still
                # send the mark of a target that is no longer declared.
                if self._documents.may_be_declared(name):
                    self._leaving.apply(change)

    def _enqueue(self, change: GossipChange) -> None:
        if change in self._bulk_received:
            return
        encoded = encode_change(change)
        size_bytes = len(json.dumps(encoded, separators=(',', ':'))) + 1
        self._queue[change_key(change)] = QueuedChange(encoded, size_bytes)
        if _is_urgent(change):
            self._urgent[change] = change not in self._received
            self._urgent_event.set()

    def _take_queued(self, remaining_bytes: int) -> list[list[Any]]:
        if not self._queue:
            return []
        host_count = len(self._membership.hosts())
        limit = math.ceil(_RETRANSMIT_FACTOR * math.log2(host_count + 1))
        taken: list[list[Any]] = []
        ordered = sorted(
            self._queue.items(),
            key=lambda pair: pair[1].sent_count,
        )
        for key, queued in ordered:
            if queued.size_bytes > remaining_bytes:
                continue
            remaining_bytes -= queued.size_bytes
            taken.append(queued.encoded)
            queued.sent_count += 1
            if queued.sent_count >= limit:
                self._queue.pop(key)
        return taken
