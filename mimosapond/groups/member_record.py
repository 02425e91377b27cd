"""Registration of a member of a database group."""

from typing import final

import attrs

from mimosapond.groups.member_process import UNKNOWN_START_MS, MemberProcess


@final
@attrs.frozen
class MemberRecord:
    """What a member registers about itself.

    Parameters
    ----------
    member_id
        Id of a member. Its address may be used again by another one, and it
        may itself start again under its id.
    is_leaving
        Whether the member will shut down soon. It still serves for a short
        time and gets no new work.
    reports_primary
        Whether the member considers itself the primary; may be stale.
    slot_count
        Statements that it says that it runs at a time; None if it is unknown.
    warm_up_left_ms
        How much longer it said that it will be slow after its start; None if
        it is unknown.
    born_ms
        Start of its process in Unix milliseconds; None if it is unknown.
    """

    member_id: str
    group: str
    ip: str
    port: int
    data_centre: str
    is_leaving: bool
    reports_primary: bool
    slot_count: int | None = None
    warm_up_left_ms: float | None = None
    born_ms: int | None = None

    @property
    def process(self) -> MemberProcess:
        """The process that registered."""
        return MemberProcess(self.member_id, self.born_ms or UNKNOWN_START_MS)
