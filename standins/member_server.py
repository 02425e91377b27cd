"""Parts of one member that its connections share."""

from typing import Final, final

from standins.member_settings import MemberSettings
from standins.member_slots import MemberSlots
from standins.member_state import MemberState


@final
class MemberServer:
    """State, slots, replication lag and connection count of a member."""

    def __init__(self, settings: MemberSettings) -> None:
        """Start without connections."""
        self.settings: Final = settings
        self.state: Final = MemberState(settings)
        self.slots: Final = MemberSlots(settings.slot_count)
        self.lag_ms = settings.lag_ms
        self.is_ship_paused = False
        self._connection_count = 0
        self._connection_peak_count = 0

    def count_connection(self) -> bool:
        """Count a data connection; return False if the limit is reached."""
        if self._connection_count == self.settings.connection_limit_count:
            return False
        self._connection_count += 1
        self._connection_peak_count = max(
            self._connection_peak_count,
            self._connection_count,
        )
        return True

    def release_connection(self) -> None:
        """Stop counting a data connection."""
        self._connection_count -= 1

    def counters(self) -> dict[str, float]:
        """Return the counters since the start."""
        return {
            **self.slots.counters(),
            'connection_count': self._connection_count,
            'connection_peak_count': self._connection_peak_count,
        }
