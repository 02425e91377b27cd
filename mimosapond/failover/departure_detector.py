"""Detection of members that have left their group for good.

A member that has left cannot answer control requests. A change that waited for
its answer would keep the group without a primary until the registration of
that member is forgotten.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.member import Member

# Time without contact after which an unlisted member is considered to have
# left for good, together with its log.
UNLISTED_SILENCE_TIMEOUT_S: Final = 10.0
# Added to the drain time, as a leaving member may serve some seconds longer
# than it has to.
_DRAIN_MARGIN_S: Final = 5.0


@final
class DepartureDetector:
    """Decides which members have left for good.

    The decision depends on the registration of a member, on the time since it
    announced that it leaves, and on the time since the last contact.
    """

    def __init__(
        self, directory: GroupDirectory, drain_s: float, now: Now
    ) -> None:
        """Create a detector for the members of a directory.

        Parameters
        ----------
        drain_s
            Time for which a member serves after it announced that it leaves.
        """
        self._directory = directory
        self._drain_s = drain_s
        self._now = now

    def has_left(self, member: Member) -> bool:
        """Return whether a change of primary need not wait for the member."""
        leaving_duration_s = member.leaving_duration_s(self._now())
        if member.unlisted_since_s is None:
            # While the registry is unreachable, no member becomes unlisted.
            return (
                not self._directory.is_current
                and leaving_duration_s > self._drain_s + _DRAIN_MARGIN_S
            )
        if leaving_duration_s > self._drain_s:
            return True
        silent_s = self._now() - max(
            member.unlisted_since_s, member.load.last_contact_s
        )
        return silent_s > UNLISTED_SILENCE_TIMEOUT_S
