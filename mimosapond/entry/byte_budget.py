"""Count of the bytes that one kind of data may hold in memory."""

from typing import final


@final
class ByteBudget:
    """Decides whether more bytes may be held; contains no waiting."""

    def __init__(self, capacity_bytes: float) -> None:
        """Start with nothing held."""
        self._capacity_bytes = capacity_bytes
        self._held_bytes: float = 0

    @property
    def held_bytes(self) -> float:
        """Bytes that are held now."""
        return self._held_bytes

    def try_take(self, size_bytes: float) -> bool:
        """Hold more bytes if they fit.

        A size above the capacity fits while nothing is held. One large message
        at a time is therefore served with any capacity.
        """
        is_free = self._held_bytes <= 0
        if not is_free and self._held_bytes + size_bytes > self._capacity_bytes:
            return False
        self._held_bytes += size_bytes
        return True

    def take(self, size_bytes: float) -> None:
        """Hold bytes that exist already, even beyond the capacity."""
        self._held_bytes += size_bytes

    def give_back(self, size_bytes: float) -> None:
        """Hold fewer bytes."""
        self._held_bytes -= size_bytes
