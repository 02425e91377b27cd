"""A member of a database group as one host knows it."""

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
        When its registration vanished; None while it is registered.
    leaving_since_s
        When this host learned that it leaves; None before.
    """

    record: MemberRecord
    pool: ConnectionPool
    load: MemberLoad
    unlisted_since_s: float | None = None
    leaving_since_s: float | None = None

    @property
    def member_id(self) -> str:
        """The id of this life of the member."""
        return self.record.member_id

    def leaving_s(self, now_s: float) -> float:
        """Return how long the member has been leaving; 0 if it stays."""
        if self.leaving_since_s is None:
            return 0
        return now_s - self.leaving_since_s

    @property
    def takes_new_work(self) -> bool:
        """Whether statements may be sent to it."""
        return self.unlisted_since_s is None and not self.record.is_leaving
