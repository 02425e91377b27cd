"""Results of the actions of operators that are not plain refusals."""

from typing import TypeAlias, final

import attrs

from mimosapond.group_view import GroupView
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown


@final
@attrs.frozen
class DocumentApplied:
    """The document was accepted at ``revision``."""

    service: str
    revision: int


@final
@attrs.frozen
class TargetDrainState:
    """Whether a target takes no new work from now on."""

    member: str
    is_leaving: bool


@final
@attrs.frozen
class HostDrainStarted:
    """The host marks itself as leaving and exits when its work is done."""

    host_id: str


ApplyResult: TypeAlias = DocumentApplied | Refused | Unknown
DrainResult: TypeAlias = TargetDrainState | Refused | Unknown
PromoteResult: TypeAlias = GroupView | Refused | Unknown
HostDrainResult: TypeAlias = HostDrainStarted | Refused
OperatorResult: TypeAlias = (
    ApplyResult | DrainResult | PromoteResult | HostDrainResult
)
