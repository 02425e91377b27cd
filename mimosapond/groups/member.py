"""A member of a database group, as seen by this host."""

import math
from typing import final

import attrs

from mimosapond.groups.connection_pool import ConnectionPool
from mimosapond.groups.member_admission import MemberAdmission
from mimosapond.groups.member_load import MemberLoad
from mimosapond.groups.member_record import MemberRecord


@final
@attrs.define(eq=False)
class Member:
    """Registration, connections and load of a member.

    Parameters
    ----------
    admission
        Orders and limits the statements that this host sends to it.
    unlisted_since_s
        Time at which its registration was found missing; None while it is
        registered.
    leaving_since_s
        Time at which this host learned that the member is leaving; None if it
        is not leaving.
    listed_since_s
        Time at which this host found its registration.
    is_drain_start_known
        Whether it was seen to begin to leave. If it was leaving when this host
        first read its registration, it may have been for any time.
    """

    record: MemberRecord
    pool: ConnectionPool
    load: MemberLoad
    admission: MemberAdmission
    unlisted_since_s: float | None = None
    leaving_since_s: float | None = None
    listed_since_s: float = -math.inf
    is_drain_start_known: bool = True

    @property
    def member_id(self) -> str:
        """Id of this incarnation of the member."""
        return self.record.member_id

    def set_connection_limit(self, connection_count: int) -> None:
        """Limit the connections, and with them the statements in flight."""
        self.pool.limit_count = connection_count
        self.admission.limit.max_count = connection_count

    def close(self) -> None:
        """Close the connections and refuse what waits for admission."""
        self.pool.close()
        self.admission.refuse_waiting()

    def leaving_duration_s(self, now_s: float) -> float:
        """Return how long the member has been leaving; 0 if it is not."""
        if self.leaving_since_s is None:
            return 0
        return now_s - self.leaving_since_s

    def may_have_left_for(self, limit_s: float, now_s: float) -> bool:
        """Return whether it may have been leaving for longer than a limit."""
        if self.leaving_since_s is None:
            return False
        is_over = self.leaving_duration_s(now_s) > limit_s
        return is_over or not self.is_drain_start_known

    @property
    def accepts_new_work(self) -> bool:
        """Whether new work may be sent: it is registered and not leaving."""
        return self.unlisted_since_s is None and not self.record.is_leaving
