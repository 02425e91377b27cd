"""Keeps the document store of this host and of its peers up to date.

Documents arrive in three independent ways: peers push offers of new revisions,
this host pulls from peers whose digest differs, and it polls the platform. Any
one of them is sufficient.
"""

import asyncio
from collections.abc import Mapping, Sequence
from typing import Any, Final, final

from mimosapond.clock import MS_PER_S, Clock
from mimosapond.degraded_path import DegradedPath
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.document_rows import (
    DOCUMENT_PREFIX,
    document_payload,
    parse_document,
    parse_row,
)
from mimosapond.document_store import DocumentStore
from mimosapond.options import Options
from mimosapond.peer_contacts import FANOUT_COUNT, PeerContacts
from mimosapond.peer_results import PeerAnswered
from mimosapond.platform_port import PlatformPort
from mimosapond.platform_results import PlatformUnavailable
from mimosapond.poll_delay import poll_delay_s

_TABLE: Final = 'table'
_DOCUMENTS: Final = 'documents'
_OPERATION: Final = 'documents'
_CATCH_UP_INTERVAL_S: Final = 0.25
_TIMEOUT_S: Final = 1
# A single peer may not have the newest revision yet, so several are asked.
_CATCH_UP_PEER_COUNT: Final = 5


@final
class DocumentSync:
    """Synchronizes documents with peers and the platform.

    Attributes
    ----------
    store
        Store that received documents are applied to.
    """

    def __init__(
        self,
        store: DocumentStore,
        platform: PlatformPort,
        contacts: PeerContacts,
        degraded: DegradedPaths,
        clock: Clock,
        options: Options,
    ) -> None:
        """Create a synchronizer that has not contacted any source yet."""
        self.store = store
        self._platform = platform
        self._contacts = contacts
        self._degraded = degraded
        self._clock = clock
        self._poll_interval_s = options.platform_poll_interval_ms / MS_PER_S
        self._platform_timeout_s = options.platform_timeout_ms / MS_PER_S
        self._pushed: dict[str, int] = {}
        self._mismatched: set[str] = set()
        self._mismatch_event = asyncio.Event()

    async def run(self) -> None:
        """Catch up, then keep the store up to date until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_push())
            group.create_task(self._run_pull())
            group.create_task(self._run_poll())

    def member_names(self) -> frozenset[str]:
        """Return the names of the members that any document declares."""
        return frozenset(member.name for member in self.store.members())

    def may_be_declared(self, member_name: str) -> bool:
        """Tell whether a document may declare the member.

        True for every member while the store is not ready, since the documents
        may be incomplete then.
        """
        return not self.store.is_ready or member_name in self.member_names()

    def compare_digest(self, address: str, digest: str) -> None:
        """Schedule a pull from ``address`` if its digest differs."""
        if digest != self.store.digest():
            self._mismatched.add(address)
            self._mismatch_event.set()

    async def catch_up(self) -> None:
        """Read documents from the platform and from peers concurrently."""
        answers = await asyncio.gather(self.poll(), self._pull_from_peers())
        if not any(answers):
            self._report_unconfirmed()

    async def poll(self) -> bool:
        """Read all documents from the platform; tell whether it answered."""
        rows = await self._platform.list_rows(
            DOCUMENT_PREFIX,
            self._platform_timeout_s,
        )
        if isinstance(rows, PlatformUnavailable):
            self._degraded.enter(
                DegradedPath.PLATFORM_UNREACHABLE,
                _TABLE,
                rows.problem,
            )
            return False
        self._degraded.clear(DegradedPath.PLATFORM_UNREACHABLE, _TABLE)
        for row in rows:
            document = parse_row(row)
            if document is not None:
                self.store.apply(document)
        self._mark_ready()
        return True

    async def confirm(self) -> None:
        """Poll the platform, and pull from peers if it does not answer."""
        if not await self.poll() and not await self._pull_from_peers():
            self._report_unconfirmed()

    async def push(self) -> None:
        """Offer random peers the revisions that are new since the last push."""
        revisions = self.store.revisions()
        newer = {
            service: revision
            for service, revision in revisions.items()
            if revision > self._pushed.get(service, 0)
        }
        self._pushed = dict(revisions)
        if newer:
            addresses = self._contacts.sample(FANOUT_COUNT)
            offers = [self._offer(address, newer) for address in addresses]
            await asyncio.gather(*offers)

    async def pull_from_mismatched(self) -> None:
        """Pull from one of the peers whose digest differed."""
        addresses = tuple(sorted(self._mismatched))
        self._mismatched.clear()
        self._mismatch_event.clear()
        if addresses:
            # They usually differ by the same revision, so one is enough. A
            # remaining difference is found with the next probe.
            await self.pull(self._contacts.rng.choice(addresses))

    async def pull(self, address: str) -> bool:
        """Fetch newer documents from a peer.

        Returns
        -------
        bool
            Whether the peer answered and was ready.
        """
        result = await self._contacts.call(
            address,
            _OPERATION,
            {'known': self.store.revisions()},
            _TIMEOUT_S,
        )
        if not isinstance(result, PeerAnswered):
            return False
        self._apply(result.body['documents'])
        if result.body['is_ready']:
            self._mark_ready()
        return bool(result.body['is_ready'])

    async def serve(self, body: Mapping[str, Any]) -> Mapping[str, Any]:
        """Answer the peer operation ``documents``.

        ``offered`` maps services to revisions; the answer lists in ``wanted``
        the services of which this host has an older revision. ``known`` has
        the same form; the answer holds newer documents. ``documents`` are
        applied to the store.
        """
        answer: dict[str, Any] = {'is_ready': self.store.is_ready}
        match body:
            case {'offered': offered}:
                answer['wanted'] = [
                    service
                    for service, revision in offered.items()
                    if revision > self.store.revision(service)
                ]
            case {'known': known}:
                answer['documents'] = self._newer_than(known)
            case {'documents': documents}:
                self._apply(documents)
        return answer

    async def _run_push(self) -> None:
        seen = ''
        while True:
            seen = await self.store.wait_change(seen)
            await self.push()

    async def _run_pull(self) -> None:
        while True:
            await self._mismatch_event.wait()
            await self.pull_from_mismatched()
            # Limits the number of pulls while a change is being distributed.
            await self._clock.sleep(_CATCH_UP_INTERVAL_S)

    async def _run_poll(self) -> None:
        while not self.store.is_ready:
            await self.catch_up()
            await self._clock.sleep(_CATCH_UP_INTERVAL_S)
        while True:
            await self._clock.sleep(
                poll_delay_s(
                    self._poll_interval_s,
                    self._contacts,
                    len(self.store.all()),
                ),
            )
            await self.confirm()

    async def _pull_from_peers(self) -> bool:
        addresses = self._contacts.sample(_CATCH_UP_PEER_COUNT)
        pulls = [self.pull(address) for address in addresses]
        return any(await asyncio.gather(*pulls))

    async def _offer(self, address: str, newer: Mapping[str, int]) -> None:
        result = await self._contacts.call(
            address,
            _OPERATION,
            {'offered': newer},
            _TIMEOUT_S,
        )
        if not isinstance(result, PeerAnswered) or not result.body['wanted']:
            return
        documents = [
            document_payload(document)
            for document in map(self.store.current, result.body['wanted'])
            if document is not None
        ]
        await self._contacts.call(
            address,
            _OPERATION,
            {'documents': documents},
            _TIMEOUT_S,
        )

    def _newer_than(self, known: Mapping[str, int]) -> list[dict[str, Any]]:
        return [
            document_payload(document)
            for document in self.store.all()
            if document.revision > known.get(document.service, 0)
        ]

    def _apply(self, payloads: Sequence[Mapping[str, Any]]) -> None:
        for payload in payloads:
            document = parse_document(payload)
            if document is not None:
                self.store.apply(document)

    def _report_unconfirmed(self) -> None:
        self._degraded.enter(
            DegradedPath.DOCUMENTS_UNCONFIRMED,
            _DOCUMENTS,
            'neither the platform nor a ready peer answers',
        )

    def _mark_ready(self) -> None:
        self.store.is_ready = True
        self._degraded.clear(DegradedPath.DOCUMENTS_UNCONFIRMED, _DOCUMENTS)
