"""Bound on the number of callers' connections."""

from collections.abc import Callable
from typing import TypeAlias, final

_Close: TypeAlias = Callable[[], None]


@final
class ConnectionBound:
    """Counts connections; those without a session make way for others.

    Callers cannot be told apart by their addresses, since all connections come
    from the load balancer. Sessions may be idle for long, so they are kept.
    """

    def __init__(self, limit_count: int) -> None:
        """Start without connections."""
        self._limit_count = limit_count
        self._open: set[_Close] = set()
        # In the order of arrival.
        self._without_session: dict[_Close, None] = {}

    def admit(self, close: _Close) -> bool:
        """Count a new connection, unless the limit is reached.

        At the limit, the oldest connection without a session is closed.

        Parameters
        ----------
        close
            Closes the connection; identifies it in the other calls.
        """
        if len(self._open) >= self._limit_count:
            if not self._without_session:
                return False
            oldest = next(iter(self._without_session))
            self.leave(oldest)
            oldest()
        self._open.add(close)
        self._without_session[close] = None
        return True

    def start_session(self, close: _Close) -> None:
        """Keep a connection from now on, as its session has started."""
        self._without_session.pop(close, None)

    def leave(self, close: _Close) -> None:
        """Stop counting a connection; a second call has no effect."""
        self._open.discard(close)
        self._without_session.pop(close, None)
