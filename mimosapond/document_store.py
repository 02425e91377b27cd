"""The service documents that this host uses.

Only a higher revision replaces a document, so a delayed message cannot revert
a document to an older revision.
"""

import asyncio
import hashlib
from collections.abc import Mapping
from typing import Final, final

from mimosapond.decision_log import DecisionLog
from mimosapond.group_spec import GroupSpec
from mimosapond.member_address import MemberAddress
from mimosapond.service_document import ServiceDocument

_DIGEST_LENGTH: Final = 16


@final
class DocumentStore:
    """Holds the newest known revision of each service's document.

    Attributes
    ----------
    is_ready
        Whether the platform or a ready peer has answered since the start.
        Until then documents may be missing.
    """

    def __init__(self, decisions: DecisionLog) -> None:
        """Create an empty store that is not ready."""
        self.is_ready = False
        self._decisions = decisions
        self._documents: dict[str, ServiceDocument] = {}
        self._groups: dict[str, GroupSpec] = {}
        self._changed = asyncio.Event()
        self._digest = self._compute_digest()

    def current(self, service: str) -> ServiceDocument | None:
        """Return the document of ``service``; None if there is none."""
        return self._documents.get(service)

    def all(self) -> tuple[ServiceDocument, ...]:
        """Return the documents of all services."""
        return tuple(self._documents.values())

    def group(self, name: str) -> GroupSpec | None:
        """Return the group ``name``, whichever document declares it."""
        return self._groups.get(name)

    def members(self) -> tuple[MemberAddress, ...]:
        """Return the members of the groups of all documents."""
        return tuple(
            member
            for group in self._groups.values()
            for member in group.members
        )

    def revisions(self) -> Mapping[str, int]:
        """Return the known revision of each service by name."""
        return {
            service: document.revision
            for service, document in self._documents.items()
        }

    def revision(self, service: str) -> int:
        """Return the revision of ``service``; 0 when unknown."""
        document = self._documents.get(service)
        return 0 if document is None else document.revision

    def apply(self, document: ServiceDocument) -> bool:
        """Store ``document`` if its revision is higher than the known one.

        Returns
        -------
        bool
            Whether the document was stored.
        """
        known_revision = self.revision(document.service)
        if document.revision <= known_revision:
            return False
        self._documents[document.service] = document
        self._groups = {
            group.name: group
            for stored in self._documents.values()
            for group in stored.groups
        }
        self._digest = self._compute_digest()
        self._decisions.record(
            'document',
            'newer revision',
            service=document.service,
            revision=document.revision,
            previous_revision=known_revision,
        )
        self._changed.set()
        self._changed = asyncio.Event()
        return True

    def digest(self) -> str:
        """Return a hash of the services and their revisions.

        Two hosts with the same digest have the same documents.
        """
        return self._digest

    async def wait_change(self, seen: str) -> str:
        """Wait until the digest differs from ``seen``; return the digest."""
        while self._digest == seen:
            await self._changed.wait()
        return self._digest

    def _compute_digest(self) -> str:
        text = repr(sorted(self.revisions().items()))
        return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_LENGTH]
