"""What hosts tell each other in each message, and what they learn from it.

A change is sent about 3 log2(n) times by each host that learned it, which
reaches all hosts with high probability at a cost that does not grow with the
number of hosts. The anti-entropy exchange covers the rest.
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

# Each probe period has four messages per host; at a period of 1 s this leaves
# room for pushes under the limit of 3 KB/s.
MESSAGE_LIMIT_BYTES: Final = 540
# Room for the call envelope and the fields that an operation adds.
_ENVELOPE_BYTES: Final = 60
_SEND_FACTOR: Final = 3
# A longer batch is a catch-up with old news, which peers know already.
_BULK_COUNT: Final = 32


def _is_urgent(change: GossipChange) -> bool:
    match change:
        case HostRecord(state=HostState.LEAVING):
            return True
        case HostRecord(state=HostState.ALIVE):
            # A refutation must overtake the suspicion that it refutes.
            return change.incarnation > 0
        case HostRecord():
            return False
        case _:
            return True


@final
class GossipState:
    """Queue of recent changes, and the application of received ones."""

    def __init__(
        self,
        membership: Membership,
        views: GroupViews,
        leaving: LeavingTargets,
        documents: DocumentSync,
    ) -> None:
        """Follow the changes of the four sources."""
        self._membership = membership
        self._views = views
        self._leaving = leaving
        self._documents = documents
        self._queue: dict[tuple[str, str], QueuedChange] = {}
        self._urgent: dict[GossipChange, bool] = {}
        self._urgent_event = asyncio.Event()
        self._arriving: set[GossipChange] = set()
        self._bulk: set[GossipChange] = set()
        membership.subscribe(self._note)
        views.subscribe(self._note)
        leaving.subscribe(self._note)

    def changes(self) -> list[GossipChange]:
        """Return the whole state, dead hosts included."""
        return [
            *self._membership.hosts(),
            *self._membership.dead(),
            *self._views.all(),
            *self._leaving.marks(),
        ]

    def retain_declared_targets(self) -> None:
        """Forget leaving targets that no document declares."""
        if self._documents.store.is_ready:
            self._leaving.forget_undeclared(self._documents.member_names())

    def compose(self, receiver: str = '') -> dict[str, Any]:
        """Return a message with the changes sent least often.

        Parameters
        ----------
        receiver
            Host id; a receiver that is held suspect or dead is told so, which
            lets it refute.
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
        changes.extend(self._take(MESSAGE_LIMIT_BYTES - size_bytes))
        return message

    def envelope(self, changes: Sequence[list[Any]]) -> dict[str, Any]:
        """Return a message with exactly ``changes``."""
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
            The sender's own record.
        """
        sender = decode_change(message['from'])
        if not isinstance(sender, HostRecord):
            return None
        received = [decode_change(raw) for raw in message['changes']]
        await self._apply([sender, *received])
        self._documents.compare_digest(sender.address, message['digest'])
        return sender

    async def wait_urgent(self) -> None:
        """Wait for a change that must be pushed at once."""
        await self._urgent_event.wait()

    def take_urgent(self) -> tuple[list[list[Any]], bool]:
        """Return changes to push, and whether one began at this host."""
        taken: list[list[Any]] = []
        is_local = False
        left_bytes = MESSAGE_LIMIT_BYTES - _ENVELOPE_BYTES
        while self._urgent and left_bytes > 0:
            change = next(iter(self._urgent))
            is_local = self._urgent.pop(change) or is_local
            encoded = encode_change(change)
            taken.append(encoded)
            left_bytes -= len(json.dumps(encoded))
        if not self._urgent:
            self._urgent_event.clear()
        return taken, is_local

    async def _apply(self, received: Iterable[GossipChange | None]) -> None:
        # A dict keeps the order, so that seeded runs repeat exactly.
        changes = dict.fromkeys(
            change for change in received if change is not None
        )
        ignored = self._bulk if len(changes) > _BULK_COUNT else self._arriving
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
                # A peer that has not seen the newest document yet must not
                # bring a forgotten target back.
                if self._documents.may_be_declared(name):
                    self._leaving.apply(change)

    def _note(self, change: GossipChange) -> None:
        if change in self._bulk:
            return
        encoded = encode_change(change)
        size_bytes = len(json.dumps(encoded, separators=(',', ':'))) + 1
        self._queue[change_key(change)] = QueuedChange(encoded, size_bytes)
        if _is_urgent(change):
            self._urgent[change] = change not in self._arriving
            self._urgent_event.set()

    def _take(self, left_bytes: int) -> list[list[Any]]:
        if not self._queue:
            return []
        host_count = len(self._membership.hosts())
        limit = math.ceil(_SEND_FACTOR * math.log2(host_count + 1))
        taken: list[list[Any]] = []
        ordered = sorted(
            self._queue.items(),
            key=lambda pair: pair[1].sent_count,
        )
        for key, queued in ordered:
            if queued.size_bytes > left_bytes:
                continue
            left_bytes -= queued.size_bytes
            taken.append(queued.encoded)
            queued.sent_count += 1
            if queued.sent_count >= limit:
                self._queue.pop(key)
        return taken
