"""What a host offers to other hosts."""

from typing import final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.peers.relayed_work_handler import RelayedWorkHandler
from mimosapond.peers.state_publisher import StatePublisher
from mimosapond.quotas.home_finder import QuotaAnswerer
from mimosapond.quotas.no_quota_service import NoQuotaService


@final
@attrs.frozen
class PeerServices:
    """The parts of a host that answer the requests of other hosts.

    Parameters
    ----------
    handler
        Runs the relayed work.
    directory
        Has the groups that work refers to.
    publisher
        Hands on what this host read in the platform's store.
    configuration
        Is handed to other hosts; each answer names its version.
    now
        Clock of the deadlines of work.
    quotas
        Answers requests about quotas.
    """

    handler: RelayedWorkHandler
    directory: GroupDirectory
    publisher: StatePublisher
    configuration: ActiveConfiguration
    now: Now
    quotas: QuotaAnswerer = attrs.field(factory=NoQuotaService)
