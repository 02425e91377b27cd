"""Checks of the statement rules that the members can observe."""

import collections
import time
from collections.abc import Iterable
from typing import Final, final

import attrs

from mimosapond.clock import MS_PER_S
from standins.database_group.log_entry import LogEntry
from standins.database_group.request_identity import (
    RequestIdentity,
    parse_identity,
)

# Session value that names the session that owns a connection.
OWNER_KEY: Final = 'owner'


@final
@attrs.frozen
class Violation:
    """A violation of a rule, as the report shows it."""

    rule: str
    member_id: str
    detail: str
    at_ms: int = attrs.field(factory=lambda: int(time.time() * MS_PER_S))


@final
@attrs.frozen
class StatementContext:
    """Connection and transaction in which a statement runs.

    Attributes
    ----------
    connection
        Number of the connection, unique within the process.
    owner
        Session value ``owner`` of the connection; empty if it is not set.
    transaction
        Caller's transaction on the connection; None until the first statement
        identifies it.
    """

    member_id: str
    connection: int
    owner: str
    is_in_transaction: bool
    transaction: RequestIdentity | None


@final
class RuleChecks:
    """Violations and statement counts of one group."""

    def __init__(self) -> None:
        """Start without violations and counts."""
        self.violations: list[Violation] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._connections: dict[RequestIdentity, int] = {}
        # By session, number of the first request on a connection that the
        # session owned.
        self._first_with_owner: dict[str, int] = {}

    def record(self, rule: str, member_id: str, detail: str) -> None:
        """Record a violation of a rule."""
        self.violations.append(Violation(rule, member_id, detail))

    def check_statement(
        self, context: StatementContext, request_id: str, text: str
    ) -> RequestIdentity | None:
        """Check a read, a write or a commit that takes effect.

        Refused statements are not checked: they have not run, and may be
        repeated on another connection.

        Returns
        -------
        RequestIdentity | None
            Identity from the request id; None if the id has another format,
            which is a violation.
        """
        identity = parse_identity(request_id)
        if identity is None:
            detail = f'no caller has the id of: {request_id} {text}'
            self.record('UNASKED', context.member_id, detail)
            return None
        for problem in (
            self._transaction_problem(context, identity),
            self._owner_problem(context, identity),
        ):
            if problem:
                detail = f'{request_id} {text}: {problem}'
                self.record('PINNED', context.member_id, detail)
        return identity

    def report(self, log: Iterable[LogEntry]) -> list[Violation]:
        """Return all violations, including writes that are in the log twice."""
        kept = collections.Counter(
            write.request_id for entry in log for write in entry.writes
        )
        return self.violations + [
            Violation('TWICE', '', f'{request_id} is kept {count} times')
            for request_id, count in kept.items()
            if count > 1
        ]

    def _transaction_problem(
        self, context: StatementContext, identity: RequestIdentity
    ) -> str:
        if identity.is_outside_transaction:
            if context.is_in_transaction:
                return f'inside of a transaction: {context.transaction}'
            return ''
        if not context.is_in_transaction:
            return 'outside of its transaction'
        if context.transaction not in {None, identity}:
            return f'inside of the transaction {context.transaction}'
        first = self._connections.setdefault(identity, context.connection)
        if first != context.connection:
            return f'on connection {context.connection} after {first}'
        return ''

    def _owner_problem(
        self, context: StatementContext, identity: RequestIdentity
    ) -> str:
        number = identity.number
        first = self._first_with_owner.get(identity.session, number)
        if context.owner == identity.session:
            self._first_with_owner[identity.session] = min(first, number)
            return ''
        # A read that was also sent to another member may arrive late, after
        # the session has become the owner of a connection.
        if context.owner or number > first:
            return f'with the owner "{context.owner}"'
        return ''
