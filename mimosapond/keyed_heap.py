"""Priority queue whose items can be removed and re-keyed."""

import heapq
import itertools
from collections.abc import Hashable
from typing import Final, Generic, TypeAlias, TypeVar, final

HeapKey: TypeAlias = tuple[float, ...]
_Item = TypeVar('_Item', bound=Hashable)

# A heap with fewer outdated entries is not rebuilt, because that would take
# time but save little memory.
_MIN_COMPACT_COUNT: Final = 64


@final
class KeyedHeap(Generic[_Item]):
    """Binary heap with lazy deletion; all changes cost O(log n) amortised.

    Entries of removed items stay in the heap until they reach its top. The
    heap is rebuilt when more than half of its entries are outdated, so that its
    memory is bounded by the number of items.
    """

    def __init__(self) -> None:
        """Create an empty heap."""
        self._heap: list[tuple[HeapKey, int, _Item]] = []
        self._live: dict[_Item, tuple[HeapKey, int, _Item]] = {}
        self._serials = itertools.count()

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self._live)

    def put(self, item: _Item, key: HeapKey) -> None:
        """Add ``item``, or change its key."""
        known = self._live.get(item)
        if known is not None and known[0] == key:
            return
        entry = (key, next(self._serials), item)
        self._live[item] = entry
        heapq.heappush(self._heap, entry)
        self._compact()

    def discard(self, item: _Item) -> None:
        """Remove ``item`` if it is present."""
        self._live.pop(item, None)

    def first(self) -> _Item | None:
        """Return the item with the smallest key; None if the heap is empty."""
        entry = self._top()
        return None if entry is None else entry[2]

    def first_key(self) -> HeapKey | None:
        """Return the smallest key; None if the heap is empty."""
        entry = self._top()
        return None if entry is None else entry[0]

    def items(self) -> tuple[_Item, ...]:
        """Return all items, in no particular order."""
        return tuple(self._live)

    def _top(self) -> tuple[HeapKey, int, _Item] | None:
        while self._heap:
            entry = self._heap[0]
            if self._live.get(entry[2]) is entry:
                return entry
            heapq.heappop(self._heap)
        return None

    def _compact(self) -> None:
        if len(self._heap) > _MIN_COMPACT_COUNT + 2 * len(self._live):
            self._heap = list(self._live.values())
            heapq.heapify(self._heap)
