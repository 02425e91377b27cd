"""Tokens of one workspace that this host has at hand."""

import math
from collections import OrderedDict, deque
from typing import Final, final

import attrs

# Time whose need is requested in advance.
_AHEAD_S: Final = 0.1
# One token is requested in advance if this many were spent within the time in
# which tokens expire. With fewer, it would probably expire unused.
_MIN_SPENT_COUNT: Final = 2
# Spent tokens that are remembered, so that they can be given back.
_MAX_SPENT_COUNT: Final = 4096


@final
@attrs.define
class _Batch:
    count: int
    expires_s: float


@final
class QuotaLender:
    """Batches of tokens, which are spent in the order of their expiry."""

    def __init__(self) -> None:
        """Start without tokens."""
        self._batches: deque[_Batch] = deque()
        self._spent_s: deque[float] = deque(maxlen=_MAX_SPENT_COUNT)
        self._spent_expiries_s: OrderedDict[str, float] = OrderedDict()

    def add(self, count: int, expires_s: float) -> None:
        """Add granted tokens."""
        if count > 0:
            self._batches.append(_Batch(count, expires_s))

    def spend(self, request_id: str, now_s: float) -> bool:
        """Spend a token for a request; return whether there was one."""
        self._drop_expired(now_s)
        if not self._batches:
            return False
        batch = self._batches[0]
        batch.count -= 1
        if not batch.count:
            self._batches.popleft()
        self._spent_s.append(now_s)
        # A request may spend several tokens and gives at most one back.
        self._spent_expiries_s[request_id] = min(
            self._spent_expiries_s.get(request_id, batch.expires_s),
            batch.expires_s,
        )
        if len(self._spent_expiries_s) > _MAX_SPENT_COUNT:
            self._spent_expiries_s.popitem(last=False)
        return True

    def give_back(self, request_id: str, now_s: float) -> None:
        """Take back the token of a request that reached no member."""
        expires_s = self._spent_expiries_s.pop(request_id, now_s)
        if expires_s > now_s:
            self._batches.appendleft(_Batch(1, expires_s))

    def ahead_count(self, now_s: float, expiry_s: float) -> int:
        """Return how many tokens to request in advance.

        Parameters
        ----------
        expiry_s
            Time for which granted tokens may be used.
        """
        self._drop_expired(now_s)
        while self._spent_s and self._spent_s[0] <= now_s - expiry_s:
            self._spent_s.popleft()
        if len(self._spent_s) < _MIN_SPENT_COUNT:
            return 0
        ahead_s = min(_AHEAD_S, expiry_s / 2)
        wanted = max(math.ceil(len(self._spent_s) * ahead_s / expiry_s), 1)
        at_hand = sum(batch.count for batch in self._batches)
        return 0 if at_hand * 2 > wanted else wanted - at_hand

    def _drop_expired(self, now_s: float) -> None:
        while self._batches and self._batches[0].expires_s <= now_s:
            self._batches.popleft()
        while self._spent_expiries_s:
            oldest = next(iter(self._spent_expiries_s))
            if self._spent_expiries_s[oldest] > now_s:
                return
            self._spent_expiries_s.popitem(last=False)
