"""The document that configures one service."""

from typing import final

import attrs

from mimosapond.class_promise import ClassPromise
from mimosapond.group_spec import GroupSpec
from mimosapond.work_class import WorkClass
from mimosapond.workspace_spec import WorkspaceSpec


@final
@attrs.frozen
class ServiceDocument:
    """One revision of the configuration of a service.

    Attributes
    ----------
    service
        Name of the service.
    revision
        Increases by one with each accepted edit; 0 before the first.
    change_id
        Random id of the edit. It tells the editor whether a stored revision
        is its own when the platform did not answer the write.
    groups
        Database groups of the service.
    workspaces
        Workspaces and the group that each of them uses.
    promises
        Limits for each work class.
    """

    service: str
    groups: tuple[GroupSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    promises: tuple[ClassPromise, ...]
    revision: int = 0
    change_id: str = ''

    def group(self, name: str) -> GroupSpec | None:
        """Return the group ``name``; None if it is not declared."""
        for group in self.groups:
            if group.name == name:
                return group
        return None

    def workspace(self, name: str) -> WorkspaceSpec | None:
        """Return the workspace ``name``; None if it is not declared."""
        for workspace in self.workspaces:
            if workspace.name == name:
                return workspace
        return None

    def promise(self, work_class: WorkClass) -> ClassPromise | None:
        """Return the promise for ``work_class``; None if there is none."""
        for promise in self.promises:
            if promise.work_class is work_class:
                return promise
        return None
