"""Wire form of the changes that hosts exchange by gossip.

A change is a JSON list whose first item is a letter for its kind. Objects are
not used because field names would take half of the size limit of a probe.
"""

from collections.abc import Sequence
from typing import Any, Final, TypeAlias

from mimosapond.group_view import GroupView
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.leaving_target import LeavingTarget

GossipChange: TypeAlias = HostRecord | GroupView | LeavingTarget

_HOST: Final = 'h'
_VIEW: Final = 'v'
_TARGET: Final = 't'


def encode_change(change: GossipChange) -> list[Any]:
    """Return the JSON list of ``change``."""
    match change:
        case HostRecord(host_id, address, data_centre, state, incarnation):
            location = (address, data_centre)
            return [_HOST, host_id, *location, state.value, incarnation]
        case GroupView(group, term, primary, holder):
            return [_VIEW, group, term, primary, holder]
        case LeavingTarget(name, version, is_leaving):
            return [_TARGET, name, version, is_leaving]


def decode_change(raw: Sequence[Any]) -> GossipChange | None:
    """Return the change in ``raw``; None for an unknown form."""
    match raw:
        case ['h', host_id, address, data_centre, state, int(incarnation)]:
            location = (address, data_centre)
            return HostRecord(host_id, *location, HostState(state), incarnation)
        case ['v', group, int(term), primary, holder]:
            return GroupView(group, term, primary, holder)
        case ['t', name, int(version), bool(is_leaving)]:
            return LeavingTarget(name, version, is_leaving)
    return None


def change_key(change: GossipChange) -> tuple[str, str]:
    """Return the kind of ``change`` and the name of its subject.

    A newer change with the same key replaces an older one in the queue.
    """
    match change:
        case HostRecord():
            return _HOST, change.host_id
        case GroupView():
            return _VIEW, change.group
        case LeavingTarget():
            return _TARGET, change.name
