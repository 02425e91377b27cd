"""Implementation of the operators' actions."""

from collections.abc import Callable
from typing import final

import attrs

from mimosapond.degraded_paths import DegradedPaths
from mimosapond.document_accepted import DocumentAccepted
from mimosapond.document_editor import DocumentEditor
from mimosapond.document_store import DocumentStore
from mimosapond.document_unsettled import DocumentUnsettled
from mimosapond.errors import refuse
from mimosapond.group_supervisor import GroupSupervisor
from mimosapond.group_views import GroupViews
from mimosapond.host_status import DocumentStatus, HostStatus, MemberStatus
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.membership import Membership
from mimosapond.operator_promotion import OperatorPromotion
from mimosapond.operator_results import (
    ApplyResult,
    DocumentApplied,
    DrainResult,
    HostDrainResult,
    HostDrainStarted,
    PromoteResult,
    TargetDrainState,
)
from mimosapond.owner_registry import OwnerRegistry
from mimosapond.refusal_reason import RefusalReason
from mimosapond.service_document import ServiceDocument
from mimosapond.unknown import Unknown


@final
@attrs.frozen
class HostActions:
    """Runs the actions of operators on the components of one host.

    Attributes
    ----------
    request_leave
        Starts the graceful shutdown of the host.
    """

    store: DocumentStore
    editor: DocumentEditor
    membership: Membership
    views: GroupViews
    supervisor: GroupSupervisor
    owners: OwnerRegistry
    leaving: LeavingTargets
    promoter: OperatorPromotion
    degraded: DegradedPaths
    request_leave: Callable[[], None]

    def status(self) -> HostStatus:
        """Return the current status of the deployment as this host knows it."""
        return HostStatus(
            host=self.membership.own,
            hosts=self.membership.hosts(),
            groups=self.views.all(),
            members=tuple(self._members()),
            documents=tuple(
                DocumentStatus(document.service, document.revision)
                for document in self.store.all()
            ),
            degraded=self.degraded.snapshot(),
            leaving=self.leaving.names(),
        )

    def documents(self) -> tuple[ServiceDocument, ...]:
        """Return the documents in force at this host."""
        return self.store.all()

    def document(self, service: str) -> ServiceDocument | None:
        """Return the document in force for ``service``; None if unknown."""
        return self.store.current(service)

    async def apply_document(
        self,
        document: ServiceDocument,
        expected_revision: int,
    ) -> ApplyResult:
        """Put ``document`` into force if the revision is as expected.

        Returns
        -------
        DocumentApplied, Refused or Unknown
            The new revision; a refusal, after which the document is unchanged;
            ``Unknown`` if the platform may have stored the document.
        """
        match await self.editor.apply(document, expected_revision):
            case DocumentAccepted(document=accepted):
                return DocumentApplied(accepted.service, accepted.revision)
            case DocumentUnsettled(change_id=change_id) as unconfirmed:
                return Unknown(
                    change_id, unconfirmed.message, unconfirmed.remedy
                )
            case refused:
                return refused

    async def set_target_leaving(
        self,
        member_name: str,
        *,
        is_leaving: bool,
    ) -> DrainResult:
        """Stop or resume new work for a target."""
        names = {member.name for member in self.store.members()}
        if member_name not in names:
            return refuse(RefusalReason.UNKNOWN_TARGET, member=member_name)
        if is_leaving:
            self.leaving.mark_leaving((member_name,))
        else:
            self.leaving.clear_leaving(member_name)
        return TargetDrainState(member_name, is_leaving)

    async def promote(
        self,
        group_name: str,
        member_name: str,
    ) -> PromoteResult:
        """Request the holder of the group to make the member its primary."""
        group = self.store.group(group_name)
        if group is None:
            return refuse(RefusalReason.UNKNOWN_GROUP, group=group_name)
        if group.member(member_name) is None:
            return refuse(RefusalReason.UNKNOWN_TARGET, member=member_name)
        if self.leaving.is_leaving(member_name):
            return refuse(RefusalReason.TARGET_LEAVING, member=member_name)
        return await self.promoter.promote(group_name, member_name)

    async def drain_host(self) -> HostDrainResult:
        """Start the graceful shutdown of this host without waiting for it."""
        self.request_leave()
        return HostDrainStarted(self.membership.own.host_id)

    def _members(self) -> list[MemberStatus]:
        groups = self._group_names()
        return [
            MemberStatus(
                name=member.name,
                group=groups.get(member.name, ''),
                queue_length_count=self._queue_length(member.name),
                is_leaving=self.leaving.is_leaving(member.name),
            )
            for member in self.supervisor.owned
        ]

    def _group_names(self) -> dict[str, str]:
        names: dict[str, str] = {}
        for document in self.store.all():
            for group in document.groups:
                names.update((each.name, group.name) for each in group.members)
        return names

    def _queue_length(self, member_name: str) -> int:
        owner = self.owners.owner(member_name)
        return 0 if owner is None else owner.queue_length_count
