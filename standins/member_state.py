"""Term, role, log and data of one member.

All methods are synchronous, so that each change of state is atomic for the
tasks of the process.
"""

import asyncio
from typing import Any, Final, final

from mimosapond.codec import encode
from mimosapond.rejected_call_error import RejectedCallError
from mimosapond.standing import PRIMARY_ROLE, REPLICA_ROLE, Standing
from mimosapond.statement import Statement
from standins.append_call import AppendCall
from standins.log_entry import LogEntry
from standins.member_database import MemberDatabase
from standins.member_log import MemberLog
from standins.member_settings import MemberSettings
from standins.member_transaction import MemberTransaction

BOOTSTRAP_ASKER: Final = 'bootstrap'
_FIRST_TERM: Final = 1


@final
class MemberState:
    """Grants terms, commits transactions and accepts shipped entries."""

    def __init__(self, settings: MemberSettings) -> None:
        """Start at term 1 with the schema as the first log entries."""
        self.database: Final = MemberDatabase()
        self.log: Final = MemberLog()
        self.write_lock: Final = asyncio.Lock()
        self.changed = asyncio.Event()
        self._settings = settings
        self._transaction: MemberTransaction | None = None
        self._term = _FIRST_TERM
        self._granted_to: str | None = BOOTSTRAP_ASKER
        self._primary = settings.name if settings.primary else None
        self._matched_position = 0
        for sql in settings.schema:
            entry = LogEntry(_FIRST_TERM, (Statement(sql),))
            self.database.apply(entry)
            self.log.append(entry)

    @property
    def term(self) -> int:
        """Highest adopted term."""
        return self._term

    @property
    def is_primary(self) -> bool:
        """Whether this member leads its term."""
        return self._primary == self._settings.name

    def standing(self, history_count: int = 1) -> Standing:
        """Return the current standing.

        Parameters
        ----------
        history_count
            Number of newest terms to include. Control answers are frequent
            and need only the newest term. Data answers include more, which
            shows whether older entries are still in the log.
        """
        log = self.log
        is_primary = self.is_primary
        return Standing(
            member=self._settings.name,
            group=self._settings.group,
            role=PRIMARY_ROLE if is_primary else REPLICA_ROLE,
            term=self._term,
            granted_to=self._granted_to,
            position=log.position,
            last_term=log.term_at(log.position),
            matched_position=(
                log.position if is_primary else self._matched_position
            ),
            history=log.history(history_count),
        )

    def rejection(
        self,
        reason: str,
        message: str,
        **details: Any,
    ) -> RejectedCallError:
        """Return an error that carries the current standing."""
        standing = encode(self.standing())
        return RejectedCallError(reason, message, standing=standing, **details)

    def adopt(self, term: int, asker: str) -> None:
        """Grant ``term`` to ``asker``.

        Raises
        ------
        RejectedCallError
            ``term_taken`` if the term is lower than the current one or is
            granted to another asker.
        """
        if term > self._term:
            self.adopt_higher_term(term, asker, None)
        elif term < self._term or self._granted_to != asker:
            raise self.rejection(
                'term_taken',
                f'term {self._term} is granted to {self._granted_to}',
            )

    def promote(self, term: int, asker: str) -> None:
        """Become the primary of a granted term; a repetition has no effect.

        Raises
        ------
        RejectedCallError
            ``term_changed`` if the term is not the current one, or
            ``not_granted`` if the asker does not hold it or another member is
            its primary.
        """
        if term != self._term:
            raise self.rejection('term_changed', f'the term is {self._term}')
        if self._granted_to != asker or not self._may_lead():
            raise self.rejection('not_granted', f'term {term} is not granted')
        if self._primary is None:
            self._primary = self._settings.name
            self.log.append(LogEntry(term))
            self._notify()

    def adopt_higher_term(
        self,
        term: int,
        granted_to: str | None,
        primary: str | None,
    ) -> None:
        """Change to a higher term and roll back the open transaction."""
        self.abort_transaction()
        self._term = term
        self._granted_to = granted_to
        self._primary = primary
        self._matched_position = 0
        self._notify()

    def receive(self, call: AppendCall) -> None:
        """Append shipped entries.

        Raises
        ------
        RejectedCallError
            ``term_taken`` for a lower term, ``bad_request`` if this member is
            the primary, or ``log_mismatch`` if the previous entry differs.
        """
        if call.term < self._term:
            raise self.rejection('term_taken', f'the term is {self._term}')
        if call.term > self._term:
            self.adopt_higher_term(call.term, call.granted_to, call.primary)
        if self.is_primary:
            raise self.rejection('bad_request', 'this member is the primary')
        self._primary = call.primary
        if not self.log.holds(call.previous_term, call.previous_position):
            raise self.rejection('log_mismatch', 'the previous entry differs')
        self._append_entries(call)
        self._notify()

    def require_primary(self, term: int) -> None:
        """Raise unless this member is the primary of ``term``.

        Raises
        ------
        RejectedCallError
            ``not_primary`` or ``term_mismatch``.
        """
        if not self.is_primary:
            raise self.rejection('not_primary', 'this member is a replica')
        if term != self._term:
            raise self.rejection('term_mismatch', f'the term is {self._term}')

    def begin(self, term: int) -> MemberTransaction:
        """Open the write transaction; the caller holds the write lock."""
        self.require_primary(term)
        self.database.begin()
        self._transaction = MemberTransaction(term)
        return self._transaction

    def commit(self, transaction: MemberTransaction) -> None:
        """Commit the transaction, release the write lock and log it."""
        entry = LogEntry(transaction.term, tuple(transaction.statements))
        self.database.commit(entry)
        self._transaction = None
        self.write_lock.release()
        self.log.append(entry)
        self._notify()

    def abort_transaction(self) -> None:
        """Roll back the open write transaction, if there is one."""
        if self._transaction is not None:
            self.database.rollback()
            self._transaction.is_aborted = True
            self._transaction = None
            self.write_lock.release()

    def _may_lead(self) -> bool:
        # Another primary of this term may already have shipped entries.
        return self._primary is None or self.is_primary

    def _append_entries(self, call: AppendCall) -> None:
        start = call.previous_position
        first_conflict = self.log.first_conflict(start, call.entries)
        if first_conflict is not None:
            self.log.truncate(first_conflict - 1)
            self.database.rebuild(self.log.entries)
        for entry in call.entries[self.log.position - start :]:
            self.database.apply(entry)
            self.log.append(entry)
        self._matched_position = max(
            self._matched_position,
            start + len(call.entries),
        )

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
