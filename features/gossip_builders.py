"""Builders of test data for the gossip and documents features."""

from mimosapond.group_spec import GroupSpec
from mimosapond.host_record import HostRecord
from mimosapond.host_state import HostState
from mimosapond.member_address import MemberAddress
from mimosapond.service_document import ServiceDocument


def build_member(name: str, data_centre: str = 'centre-1') -> MemberAddress:
    """Build a member whose address is derived from its name."""
    return MemberAddress(name, data_centre, f'{name}:5000')


def build_document(
    revision: int = 0,
    change_id: str = '',
    members: tuple[str, ...] = ('forge-a-1', 'forge-a-2', 'forge-a-3'),
) -> ServiceDocument:
    """Build the document of the service ``orders``."""
    group = GroupSpec('forge-a', tuple(map(build_member, members)))
    return ServiceDocument(
        'orders',
        (group,),
        (),
        (),
        revision=revision,
        change_id=change_id,
    )


def build_host(
    host_id: str,
    data_centre: str = 'centre-1',
    state: HostState = HostState.ALIVE,
    incarnation: int = 0,
) -> HostRecord:
    """Build a host record whose address is the host id."""
    return HostRecord(host_id, host_id, data_centre, state, incarnation)
