"""The parts of a host that all its sessions share."""

from typing import final

import attrs

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.routing.read_router import ReadRouter
from mimosapond.sessions.serving_limits import ServingLimits
from mimosapond.sessions.transaction import TransactionRouting


@final
@attrs.frozen
class SessionServices:
    """The parts of a host that all its sessions share.

    Parameters
    ----------
    limits
        Says until when statements are begun and answered.
    is_revocation_strict
        Whether an open transaction is rolled back when the key of its caller is
        revoked.
    """

    configuration: ActiveConfiguration
    directory: GroupDirectory
    reads: ReadRouter
    routing: TransactionRouting
    limits: ServingLimits
    is_revocation_strict: bool = False
