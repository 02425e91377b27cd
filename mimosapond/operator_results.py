"""Results of the actions of operators."""

from typing import TypeAlias, final

import attrs

from mimosapond.group_view import GroupView
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown


@final
@attrs.frozen
class DocumentApplied:
    """The document of ``service`` is in force at ``revision``."""

    service: str
    revision: int


@final
@attrs.frozen
class TargetDrainState:
    """Whether new work for a target has been stopped."""

    member: str
    is_leaving: bool


@final
@attrs.frozen
class HostDrainStarted:
    """The host has started to shut down; it exits after its work is drained."""

    host_id: str


ApplyResult: TypeAlias = DocumentApplied | Refused | Unknown
DrainResult: TypeAlias = TargetDrainState | Refused | Unknown
PromoteResult: TypeAlias = GroupView | Refused | Unknown
HostDrainResult: TypeAlias = HostDrainStarted | Refused
OperatorResult: TypeAlias = (
    ApplyResult | DrainResult | PromoteResult | HostDrainResult
)
