"""Tracks the open sessions of this host and closes them when it stops."""

import contextlib
from collections.abc import Callable, Iterator
from typing import Final, final

from loguru import logger

from mimosapond.configuration.key_digest import digest_key
from mimosapond.routing.caller_access import find_access
from mimosapond.routing import failures
from mimosapond.sessions.session import Session
from mimosapond.sessions.session_services import SessionServices
from mimosapond.statements.reply import Failure, SessionState

# A caller that sends one request after another has sent the next one by then. A
# close at an earlier moment would cross with it.
_MIN_IDLE_S: Final = 0.1


@final
class SessionRegistry:
    """Opens sessions and closes idle ones at a stop or when cut off.

    Attributes
    ----------
    redirected_groups
        Groups whose callers are better served by other hosts.
    is_stopping
        Whether each session is closed after its next reply in the idle state.
    """

    def __init__(self, services: SessionServices) -> None:
        """Create a registry without sessions."""
        self._services = services
        self._close_callbacks: dict[Session, Callable[[], None]] = {}
        self._busy: set[Session] = set()
        # Time of the last reply.
        self._idle_since_s: dict[Session, float] = {}
        self._closing: set[Session] = set()
        self._connection_count = 0
        self._checked_version = services.configuration.version
        self.redirected_groups: frozenset[str] = frozenset()
        self.is_stopping = False

    @property
    def connection_count(self) -> int:
        """Number of callers' connections, with or without a session."""
        return self._connection_count

    @property
    def session_count(self) -> int:
        """Number of open sessions."""
        return len(self._close_callbacks)

    def open(self, database: str, key: str = '') -> Session | Failure:
        """Return a new session, or the reason why it cannot be opened.

        Parameters
        ----------
        key
            The caller's key; only its digest is kept.
        """
        configuration = self._services.configuration
        if not configuration.is_loaded:
            return failures.NO_CONFIGURATION
        if not self._services.limits.accepts_statements:
            return failures.HOST_STOPPING
        key_digest = digest_key(key)
        access = find_access(configuration, database, key_digest)
        if isinstance(access, Failure):
            return access
        return Session(database, self._services, key_digest)

    @contextlib.contextmanager
    def connected(self) -> Iterator[None]:
        """Count a caller's connection while it is open."""
        self._connection_count += 1
        try:
            yield
        finally:
            self._connection_count -= 1

    def register(self, session: Session, close: Callable[[], None]) -> None:
        """Track a session.

        Parameters
        ----------
        close
            Closes the connection of the caller, unless a request has arrived.
        """
        self._close_callbacks[session] = close

    def unregister(self, session: Session) -> None:
        """Stop tracking a session."""
        self._close_callbacks.pop(session, None)
        self._busy.discard(session)
        self._closing.discard(session)
        self._idle_since_s.pop(session, None)

    @contextlib.contextmanager
    def serving(self, session: Session) -> Iterator[None]:
        """Mark a request of the session as in flight."""
        self._busy.add(session)
        try:
            yield
        finally:
            self._busy.discard(session)
            self._idle_since_s[session] = self._services.routing.now()

    def should_close(self, session: Session) -> bool:
        """Return whether to close a session now that its reply was sent."""
        if session.state is SessionState.in_transaction:
            return False
        if session.is_revoked:
            return True
        return session.state is SessionState.idle and (
            self.is_stopping
            or session in self._closing
            or session.group in self.redirected_groups
        )

    def close_soon(self, session: Session) -> None:
        """Mark a session to be closed unless it is used at once."""
        self._closing.add(session)

    def close_when_idle(self) -> None:
        """Mark all open sessions to be closed as soon as they are idle.

        Sessions that begin later are closed after a reply, unless they are
        marked by another call while they are idle.
        """
        self.is_stopping = True
        self._closing.update(self._close_callbacks)

    def interrupt_running(self) -> int:
        """Interrupt all requests in flight, and return their number.

        Each is answered with what is certain about its outcome.
        """
        running = tuple(self._busy)
        for session in running:
            session.interrupt()
        return len(running)

    def redirect_groups(self, groups: frozenset[str]) -> None:
        """Mark the open sessions of some groups to be closed when idle.

        Sessions of these groups that begin later are closed after their first
        reply, as their callers may have no better host. ``groups`` replaces
        the groups of earlier calls.
        """
        if groups - self.redirected_groups:
            self._closing.update(
                session
                for session in self._close_callbacks
                if session.group in groups
            )
            logger.bind(
                groups=sorted(groups), sessions=len(self._closing)
            ).info(
                'callers_redirected',
            )
        self.redirected_groups = groups

    def close_revoked(self) -> None:
        """Mark the sessions of keys that the newest configuration lacks.

        Their open transactions are rolled back if revocation is strict, except
        while a statement is under way; the session ends these itself.
        """
        version = self._services.configuration.version
        if version != self._checked_version:
            self._checked_version = version
            revoked = {
                session
                for session in self._close_callbacks
                if session.is_revoked
            }
            self._closing |= revoked
            if revoked:
                logger.bind(version=version, sessions=len(revoked)).info(
                    'callers_revoked'
                )
        if self._services.is_revocation_strict:
            for session in self._closing - self._busy:
                if session.is_revoked:
                    session.roll_back_revoked()

    def close_idle(self) -> None:
        """Close marked sessions without a transaction or request in flight."""
        idle_until_s = self._services.routing.now() - _MIN_IDLE_S
        for session in tuple(self._closing):
            since_s = self._idle_since_s.get(session, 0)
            is_idle = session not in self._busy and since_s <= idle_until_s
            if is_idle and self.should_close(session):
                self._close_callbacks[session]()
