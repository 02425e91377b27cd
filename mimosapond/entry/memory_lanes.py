"""Shares of memory for messages, by their size.

Messages of different sizes do not wait for each other, so that callers of
ordinary size are served beside a crowd with large messages.
"""

import math
from typing import Final, final

import attrs

from mimosapond.entry.byte_shares import ByteShares

_KIB: Final = 1024
# A message up to this size needs no share. The bound on connections limits how
# many of them there are.
SMALL_BYTES: Final = 8 * _KIB
MEDIUM_BYTES: Final = 64 * _KIB
# The size of a message is unknown until its end has come, so its share is that
# of the longest message. Shares that grow in steps could wait for each other.
_LARGE_BYTES: Final = _KIB * _KIB
# A message exists as received bytes, as text, and as the bytes that are sent;
# a fourth copy is made when it is passed on to another host.
_COPY_COUNT: Final = 4
# Python stores a text with characters outside ASCII in up to four bytes each.
_WIDE_EXTRA_COUNT: Final = 3 * _COPY_COUNT


@final
@attrs.frozen
class MemoryLanes:
    """The shares of one kind of message.

    Parameters
    ----------
    medium, large
        Shares for messages up to ``MEDIUM_BYTES``, and for longer ones.
    wide
        Additional shares for large texts that are not ASCII.
    """

    medium: ByteShares
    large: ByteShares
    wide: ByteShares

    @property
    def held_bytes(self) -> float:
        """Bytes of all shares that are held."""
        lanes = (self.medium, self.large, self.wide)
        return sum(lane.held_bytes for lane in lanes)


@final
class MemoryAccount:
    """The shares that one message or one answer holds."""

    def __init__(self, lanes: MemoryLanes) -> None:
        """Start without shares."""
        self._lanes = lanes
        self._held_bytes: dict[ByteShares, float] = {}

    @property
    def is_contended(self) -> bool:
        """Whether others wait for what this account holds."""
        return any(shares.is_contended for shares in self._held_bytes)

    async def reserve(self, received_bytes: int) -> bool:
        """Wait for the share of a message of which a part has come.

        Returns
        -------
        bool
            False if there was none in time.
        """
        if received_bytes <= SMALL_BYTES:
            return True
        if received_bytes <= MEDIUM_BYTES:
            return await self._grow(
                self._lanes.medium, MEDIUM_BYTES * _COPY_COUNT
            )
        count = math.ceil(received_bytes / _LARGE_BYTES)
        return await self._grow(
            self._lanes.large, count * _LARGE_BYTES * _COPY_COUNT
        )

    async def reserve_exactly(self, size_bytes: int) -> bool:
        """Wait for the share of a message whose size is known."""
        if size_bytes <= SMALL_BYTES:
            return True
        return await self._grow(
            self._lane(size_bytes), size_bytes * _COPY_COUNT
        )

    async def reserve_wide(self, size_bytes: int) -> bool:
        """Wait for the additional share of a large text outside ASCII."""
        return await self._grow(
            self._lanes.wide, size_bytes * _WIDE_EXTRA_COUNT
        )

    def settle(self, size_bytes: int) -> None:
        """Keep only the share of a message that has come entirely."""
        lane = self._lane(size_bytes)
        for shares, held_bytes in tuple(self._held_bytes.items()):
            if shares is self._lanes.wide:
                continue
            kept_bytes = size_bytes * _COPY_COUNT if shares is lane else 0
            if kept_bytes < held_bytes:
                self._held_bytes[shares] = kept_bytes
                shares.release(held_bytes - kept_bytes)

    def charge(self, size_bytes: int) -> None:
        """Count a message that exists already, unless it is small."""
        if size_bytes > SMALL_BYTES:
            lane = self._lane(size_bytes)
            self._add(lane, size_bytes * _COPY_COUNT)
            lane.charge(size_bytes * _COPY_COUNT)

    def release(self) -> None:
        """Give all shares back."""
        if not self._held_bytes:
            return
        held = self._held_bytes
        self._held_bytes = {}
        for shares, held_bytes in held.items():
            shares.release(held_bytes)

    def _lane(self, size_bytes: int) -> ByteShares:
        is_medium = size_bytes <= MEDIUM_BYTES
        return self._lanes.medium if is_medium else self._lanes.large

    async def _grow(self, shares: ByteShares, needed_bytes: float) -> bool:
        missing_bytes = needed_bytes - self._held_bytes.get(shares, 0)
        if missing_bytes <= 0:
            return True
        is_granted = await shares.acquire(missing_bytes)
        if is_granted:
            self._add(shares, missing_bytes)
        return is_granted

    def _add(self, shares: ByteShares, size_bytes: float) -> None:
        self._held_bytes[shares] = self._held_bytes.get(shares, 0) + size_bytes
