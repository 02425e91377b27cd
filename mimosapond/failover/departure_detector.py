"""Which members have left for good, with their logs.

A member that has left cannot answer, and waiting for it would keep a group
without primary for as long as its registration is remembered.
"""

from typing import Final, final

from mimosapond.boot_clock import Now
from mimosapond.groups.group_directory import GroupDirectory
from mimosapond.groups.member import Member

# A member that is unlisted and silent this long is gone with its log.
_SILENCE_LIMIT_S: Final = 10.0
# A leaving member may serve some seconds longer than it has to.
_DRAIN_MARGIN_S: Final = 5.0


@final
class DepartureDetector:
    """Judges by registrations and by the time since a member announced it."""

    def __init__(
        self, directory: GroupDirectory, drain_s: float, now: Now
    ) -> None:
        """Take the registrations.

        Parameters
        ----------
        drain_s
            How long a member serves after it announced that it leaves.
        """
        self._directory = directory
        self._drain_s = drain_s
        self._now = now

    def has_left(self, member: Member) -> bool:
        """Return whether the member need not be waited for."""
        leaving_duration_s = member.leaving_duration_s(self._now())
        if member.unlisted_since_s is None:
            # While the registry is out of reach, nobody is unlisted.
            return (
                not self._directory.is_current
                and leaving_duration_s > self._drain_s + _DRAIN_MARGIN_S
            )
        if leaving_duration_s > self._drain_s:
            return True
        silent_s = self._now() - max(
            member.unlisted_since_s, member.load.last_contact_s
        )
        return silent_s > _SILENCE_LIMIT_S
