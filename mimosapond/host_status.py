"""Status that one host reports to operators."""

from collections.abc import Mapping
from typing import final

import attrs

from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord


@final
@attrs.frozen
class MemberStatus:
    """A member that the reporting host owns.

    Attributes
    ----------
    queue_length_count
        Number of requests that wait for a slot.
    is_leaving
        Whether the member is being drained and takes no new work.
    """

    name: str
    group: str
    queue_length_count: int
    is_leaving: bool = False


@final
@attrs.frozen
class DocumentStatus:
    """Revision of a document that is in force at the reporting host."""

    service: str
    revision: int


@final
@attrs.frozen
class HostStatus:
    """Answer of ``GET /v1/status``.

    Attributes
    ----------
    host
        The reporting host.
    hosts
        All hosts that the reporting host knows, with their states.
    groups
        Newest term, primary and holder of each group that it knows.
    members
        The members that it owns.
    documents
        Documents in force at the reporting host.
    degraded
        Cause of each degraded path, by ``path/subject``.
    leaving
        Names of the targets that get no new work from any host.
    """

    host: HostRecord
    hosts: tuple[HostRecord, ...]
    groups: tuple[GroupView, ...]
    members: tuple[MemberStatus, ...]
    documents: tuple[DocumentStatus, ...]
    degraded: Mapping[str, str]
    leaving: tuple[str, ...] = ()
