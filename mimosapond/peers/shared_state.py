"""State of the platform's store that one host hands on to another."""

from typing import final

import attrs

from mimosapond.groups.member_record import MemberRecord


@final
@attrs.frozen
class SharedState:
    """What a reader of the store last read, as another host received it.

    Times are those of the receiving host and lower bounds: the reader reports
    them relative to the arrival of the request, and the receiving host counts
    from the time at which it sent the request.

    Parameters
    ----------
    read_number
        Number of the read of the registrations at the reader.
    registrations_read_s
        Time at which the reader read the registrations.
    unlisting_wait_s
        Time for which a missing registration does not mean that the member is
        gone, as the reader saw an outage of the store.
    configuration_answered_s
        Time at which the reader last heard from the source of configurations.
    records_digest
        Digest of the registrations.
    records
        The registrations; None if the receiving host has them.
    """

    read_number: int
    registrations_read_s: float
    unlisting_wait_s: float
    configuration_answered_s: float
    records_digest: str
    records: tuple[MemberRecord, ...] | None
