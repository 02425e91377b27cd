"""Port of the operator interface: what handlers need from the daemon.

Handlers depend on this protocol only; the composition root implements it from
the membership, the document store and editor, the owners and the terms.
"""

from typing import Protocol

from mimosapond.host_status import HostStatus
from mimosapond.operator_results import (
    ApplyResult,
    DrainResult,
    HostDrainResult,
    PromoteResult,
)
from mimosapond.service_document import ServiceDocument


class OperatorActions(Protocol):
    """Actions of operators; expected failures are returned, not raised."""

    def status(self) -> HostStatus:
        """Return the current status of the deployment as this host knows it."""

    def documents(self) -> tuple[ServiceDocument, ...]:
        """Return the documents in force at this host."""

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force for ``service``; None if unknown."""

    async def apply_document(
        self,
        document: ServiceDocument,
        expected_revision: int,
    ) -> ApplyResult:
        """Put ``document`` into force.

        It is refused unless the revision in force is ``expected_revision``,
        which is 0 for a service without a document.
        """

    async def set_target_leaving(
        self,
        member_name: str,
        *,
        is_leaving: bool,
    ) -> DrainResult:
        """Stop or resume new work for a target."""

    async def promote(
        self,
        group_name: str,
        member_name: str,
    ) -> PromoteResult:
        """Make the member the primary of the group at a new term."""

    async def drain_host(self) -> HostDrainResult:
        """Start the graceful shutdown of this host without waiting for it."""
