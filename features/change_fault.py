"""Kinds of events that the explorer of changes of primary draws."""

import enum
from collections.abc import Collection
from typing import Final, TypeAlias, final


@final
@enum.unique
class ChangeFault(enum.Enum):
    """What may happen beside commits, joins, and primaries that are silent."""

    # The host that confirms commits starts again.
    host_restart = 'host restart'
    # A host that changes the primary starts again.
    changing_restart = 'changing restart'
    # A replica starts again with its log.
    replica_restart = 'replica restart'
    # A replica starts again under its id without its log.
    empty_restart = 'empty restart'
    # A replica ends for good, with its log.
    lost_replica = 'lost replica'
    # Promotions take effect after the call; calls may be carried out late.
    late_promotion = 'late promotion'
    # Most promotion calls get no answer and are carried out late, also those that
    # name the primary to raise the fence.
    lost_calls = 'lost calls'
    # Most requests to resume get no answer and are carried out late.
    late_resumes = 'late resumes'
    # Any promotion that takes effect ends the pauses of all members.
    ending_pauses = 'ending pauses'
    # A second host changes the primary.
    second_host = 'second host'
    # All connections that a member accepts are in use.
    full_member = 'full member'
    # The store does not answer one host.
    silent_store = 'silent store'
    # A member leaves; another one starts at its address with its log.
    leaving_member = 'leaving member'
    # The same, and the log of the member that left is gone.
    leaving_log = 'leaving log'


ChangeFaults: TypeAlias = Collection[ChangeFault]

ALL_FAULTS: Final[ChangeFaults] = frozenset(ChangeFault)


def parse_faults(names: str) -> ChangeFaults:
    """Return the kinds of events that a step names.

    Parameters
    ----------
    names
        Names separated by commas, ``all``, or ``no other``.
    """
    if names == 'all':
        return ALL_FAULTS
    if names == 'no other':
        return frozenset()
    return frozenset(ChangeFault(name) for name in names.split(', '))
