"""What a member of a database group registers about itself."""

from typing import final

import attrs


@final
@attrs.frozen
class MemberRecord:
    """Registration of one member.

    Parameters
    ----------
    member_id
        New for each life of a member; an address may be used again.
    is_leaving
        The member serves a little longer and gets no new work.
    reports_primary
        The member's own view of its role, which may be out of date.
    """

    member_id: str
    group: str
    ip: str
    port: int
    data_centre: str
    is_leaving: bool
    reports_primary: bool
