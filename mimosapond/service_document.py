"""The document that drives one service."""

from typing import final

import attrs

from mimosapond.class_promise import ClassPromise
from mimosapond.group_spec import GroupSpec
from mimosapond.work_class import WorkClass
from mimosapond.workspace_spec import WorkspaceSpec


@final
@attrs.frozen
class ServiceDocument:
    """One revision of a service's declaration.

    Attributes
    ----------
    service
        Name of the service.
    revision
        Rises by one with each accepted edit; 0 before acceptance.
    change_id
        Written by the editor; tells its own write from another's when an
        answer of the platform was lost.
    groups, workspaces, promises
        What the service uses and what it promises.
    """

    service: str
    groups: tuple[GroupSpec, ...]
    workspaces: tuple[WorkspaceSpec, ...]
    promises: tuple[ClassPromise, ...]
    revision: int = 0
    change_id: str = ''

    def group(self, name: str) -> GroupSpec | None:
        """Return the group called ``name``."""
        for group in self.groups:
            if group.name == name:
                return group
        return None

    def workspace(self, name: str) -> WorkspaceSpec | None:
        """Return the workspace called ``name``."""
        for workspace in self.workspaces:
            if workspace.name == name:
                return workspace
        return None

    def promise(self, work_class: WorkClass) -> ClassPromise | None:
        """Return the promise for ``work_class``."""
        for promise in self.promises:
            if promise.work_class is work_class:
                return promise
        return None
