"""One bounded log line for each cause for which callers are refused."""

import collections
import enum
from collections.abc import Callable
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now

# A crowd is refused thousands of times a second; one line names their number.
_INTERVAL_S: Final = 5.0


@final
class RefusalCause(enum.Enum):
    """Why a host refused a caller or another host, or closed its connection."""

    connections = 'connections'
    start_timeout = 'start_timeout'
    message_timeout = 'message_timeout'
    answer_timeout = 'answer_timeout'
    too_large = 'too_large'
    memory = 'memory'
    peer_memory = 'peer_memory'


@final
class RefusalLog:
    """Counts refusals, and logs each cause at most once per interval."""

    def __init__(self, now: Now, held_bytes: Callable[[], float]) -> None:
        """Start without refusals.

        Parameters
        ----------
        held_bytes
            Returns the bytes that messages hold now.
        """
        self._now = now
        self._held_bytes = held_bytes
        self._counts: collections.Counter[RefusalCause] = collections.Counter()
        self._next_s: dict[RefusalCause, float] = {}

    def record(self, cause: RefusalCause) -> None:
        """Count a refusal, and log the number since the last line."""
        self._counts[cause] += 1
        now_s = self._now()
        if now_s < self._next_s.get(cause, 0):
            return
        self._next_s[cause] = now_s + _INTERVAL_S
        logger.bind(
            cause=cause.value,
            count=self._counts.pop(cause),
            held_bytes=int(self._held_bytes()),
        ).warning('callers_limited')
