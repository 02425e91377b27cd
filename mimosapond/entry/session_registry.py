"""Sessions that are open on this host, and their end at a graceful stop."""

import contextlib
from collections.abc import Callable, Iterator
from typing import final

from loguru import logger

from mimosapond.routing import failures
from mimosapond.sessions.session import Session, SessionServices
from mimosapond.statements.reply import Failure, SessionState


@final
class SessionRegistry:
    """Opens sessions and closes idle ones when the host leaves."""

    def __init__(self, services: SessionServices) -> None:
        """Start without sessions."""
        self._services = services
        self._closers: dict[Session, Callable[[], None]] = {}
        self._busy: set[Session] = set()
        self._closing: set[Session] = set()
        # Groups whose callers are served better elsewhere.
        self.redirected_groups: frozenset[str] = frozenset()

    @property
    def session_count(self) -> int:
        """Sessions that are open."""
        return len(self._closers)

    def open(self, database: str) -> Session | Failure:
        """Return a session, or why there is none for the database."""
        configuration = self._services.configuration
        if not configuration.is_loaded:
            return failures.NO_CONFIGURATION
        if configuration.route(database) is None:
            return failures.NO_SUCH_DATABASE
        return Session(database, self._services)

    def register(self, session: Session, close: Callable[[], None]) -> None:
        """Count a session; ``close`` ends its connection."""
        self._closers[session] = close

    def unregister(self, session: Session) -> None:
        """Stop counting a session."""
        self._closers.pop(session, None)
        self._busy.discard(session)
        self._closing.discard(session)

    @contextlib.contextmanager
    def serving(self, session: Session) -> Iterator[None]:
        """Mark that a request of the session is under way."""
        self._busy.add(session)
        try:
            yield
        finally:
            self._busy.discard(session)

    def should_close(self, session: Session) -> bool:
        """Return whether to close a session after its answer."""
        if session.state is not SessionState.idle:
            return False
        return (
            session in self._closing or session.group in self.redirected_groups
        )

    def close_when_idle(self) -> None:
        """Close the present sessions, each when it is idle.

        Sessions that begin later stay: the balancer had no better host.
        """
        self._closing.update(self._closers)

    def redirect_groups(self, groups: frozenset[str]) -> None:
        """Close the present sessions of some groups, each when it is idle.

        Later ones get one answer each, as their callers may have no better
        host.
        """
        if groups - self.redirected_groups:
            self._closing.update(
                session for session in self._closers if session.group in groups
            )
            logger.bind(
                groups=sorted(groups), sessions=len(self._closing)
            ).info(
                'callers_redirected',
            )
        self.redirected_groups = groups

    def close_idle(self) -> None:
        """Close ending sessions outside of transactions and requests."""
        for session in tuple(self._closing):
            if session not in self._busy and self.should_close(session):
                self._closers[session]()
