"""Since when members that are in use elsewhere are missing from the registry."""

from collections.abc import Collection
from typing import final

from mimosapond.boot_clock import Now


@final
class Absences:
    """Times since which this host knows members to be absent.

    The time of a member counts from the first question about it while it is
    not registered, so that a host which has just started counts from its start.
    """

    def __init__(self, now: Now) -> None:
        """Start without absent members."""
        self._now = now
        self._since_s: dict[str, float] = {}

    def note_registered(self, member_ids: Collection[str]) -> None:
        """Forget the absence of members that are registered."""
        for member_id in self._since_s.keys() & set(member_ids):
            self._since_s.pop(member_id)

    def note_absent(self, member_id: str, since_s: float) -> None:
        """Record since when a member is not registered."""
        self._since_s[member_id] = since_s

    def clear(self) -> None:
        """Forget all absences, as registrations may have lapsed in an outage."""
        self._since_s.clear()

    def duration_s(self, member_id: str) -> float:
        """Return for how long a member without a registration is absent."""
        return self._now() - self._since_s.setdefault(member_id, self._now())
