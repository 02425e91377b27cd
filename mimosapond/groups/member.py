"""A member of a database group, as seen by this host."""

from typing import final

import attrs

from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_record import MemberRecord


@final
@attrs.define(eq=False)
class Member:
    """Registration, connections and load of a member.

    Parameters
    ----------
    unlisted_since_s
        Time at which its registration was found missing; None while it is
        registered.
    leaving_since_s
        Time at which this host learned that the member is leaving; None if it
        is not leaving.
    """

    record: MemberRecord
    pool: ConnectionPool
    load: MemberLoad
    unlisted_since_s: float | None = None
    leaving_since_s: float | None = None

    @property
    def member_id(self) -> str:
        """Id of this incarnation of the member."""
        return self.record.member_id

    def leaving_duration_s(self, now_s: float) -> float:
        """Return how long the member has been leaving; 0 if it is not."""
        if self.leaving_since_s is None:
            return 0
        return now_s - self.leaving_since_s

    @property
    def accepts_new_work(self) -> bool:
        """Whether new work may be sent: it is registered and not leaving."""
        return self.unlisted_since_s is None and not self.record.is_leaving
