"""The service documents that are in force on this host.

Revisions are applied only upwards, so no late message can revert a document.
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
    """Newest known revision of each document.

    Attributes
    ----------
    is_ready
        Whether the platform or a peer that is ready has answered.
    """

    def __init__(self, decisions: DecisionLog) -> None:
        """Start empty and not ready."""
        self.is_ready = False
        self._decisions = decisions
        self._documents: dict[str, ServiceDocument] = {}
        self._groups: dict[str, GroupSpec] = {}
        self._changed = asyncio.Event()
        self._digest = self._compute_digest()

    def current(self, service: str) -> ServiceDocument | None:
        """Return the document of ``service``."""
        return self._documents.get(service)

    def all(self) -> tuple[ServiceDocument, ...]:
        """Return the documents of all services."""
        return tuple(self._documents.values())

    def group(self, name: str) -> GroupSpec | None:
        """Return the group called ``name`` of any document."""
        return self._groups.get(name)

    def members(self) -> tuple[MemberAddress, ...]:
        """Return the declared members of all groups."""
        return tuple(
            member
            for group in self._groups.values()
            for member in group.members
        )

    def revisions(self) -> Mapping[str, int]:
        """Return the revision of each service."""
        return {
            service: document.revision
            for service, document in self._documents.items()
        }

    def revision(self, service: str) -> int:
        """Return the revision of ``service``; 0 when unknown."""
        document = self._documents.get(service)
        return 0 if document is None else document.revision

    def apply(self, document: ServiceDocument) -> bool:
        """Put a newer revision in force; tell whether it was newer."""
        known_revision = self.revision(document.service)
        if document.revision <= known_revision:
            return False
        self._documents[document.service] = document
        self._groups = {
            group.name: group
            for known in self._documents.values()
            for group in known.groups
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
        """Return a short hash of all services and revisions."""
        return self._digest

    async def wait_change(self, seen: str) -> str:
        """Wait until the digest differs from ``seen``; return it."""
        while self._digest == seen:
            await self._changed.wait()
        return self._digest

    def _compute_digest(self) -> str:
        text = repr(sorted(self.revisions().items()))
        return hashlib.sha256(text.encode()).hexdigest()[:_DIGEST_LENGTH]
