"""Checks of the rules for statements, as far as members see them."""

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

OWNER_VALUE: Final = 'owner'


@final
@attrs.frozen
class Violation:
    """A broken rule."""

    rule: str
    member_id: str
    detail: str
    at_ms: int = attrs.field(factory=lambda: int(time.time() * MS_PER_S))


@final
@attrs.frozen
class StatementPlace:
    """Where a statement runs.

    Attributes
    ----------
    connection
        Number that no other connection of the group has.
    owner
        Session value ``owner`` of the connection; empty if it is not set.
    transaction
        Caller's transaction on the connection, once a statement has shown it.
    """

    member_id: str
    connection: int
    owner: str
    is_in_transaction: bool
    transaction: RequestIdentity | None


@final
class RuleChecks:
    """Violations and counts of one group."""

    def __init__(self) -> None:
        """Start with none."""
        self.violations: list[Violation] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self._connections: dict[RequestIdentity, int] = {}
        # First request by session that ran with the session's owner.
        self._first_with_owner: dict[str, int] = {}

    def record(self, rule: str, member_id: str, detail: str) -> None:
        """Add a violation."""
        self.violations.append(Violation(rule, member_id, detail))

    def check_run(
        self, place: StatementPlace, request_id: str, text: str
    ) -> RequestIdentity | None:
        """Check a read, a write or a commit that takes effect.

        What was refused has not run, and may run on another connection.
        """
        identity = parse_identity(request_id)
        if identity is None:
            detail = f'no caller has the id of: {request_id} {text}'
            self.record('UNASKED', place.member_id, detail)
            return None
        for problem in (
            self._transaction_problem(place, identity),
            self._owner_problem(place, identity),
        ):
            if problem:
                detail = f'{request_id} {text}: {problem}'
                self.record('PINNED', place.member_id, detail)
        return identity

    def report(self, log: Iterable[LogEntry]) -> list[Violation]:
        """Return all violations, with those that the kept log shows."""
        kept = collections.Counter(
            write.request_id for entry in log for write in entry.writes
        )
        return self.violations + [
            Violation('TWICE', '', f'{request_id} is kept {count} times')
            for request_id, count in kept.items()
            if count > 1
        ]

    def _transaction_problem(
        self, place: StatementPlace, identity: RequestIdentity
    ) -> str:
        if identity.is_single:
            if place.is_in_transaction:
                return f'inside of a transaction: {place.transaction}'
            return ''
        if not place.is_in_transaction:
            return 'outside of its transaction'
        if place.transaction not in {None, identity}:
            return f'inside of the transaction {place.transaction}'
        first = self._connections.setdefault(identity, place.connection)
        if first != place.connection:
            return f'on connection {place.connection} after {first}'
        return ''

    def _owner_problem(
        self, place: StatementPlace, identity: RequestIdentity
    ) -> str:
        number = identity.number
        first = self._first_with_owner.get(identity.session, number)
        if place.owner == identity.session:
            self._first_with_owner[identity.session] = min(first, number)
            return ''
        # An earlier read that was also sent to another member may run late.
        if place.owner or number > first:
            return f'with the owner "{place.owner}"'
        return ''
