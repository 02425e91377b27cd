"""A connection to a member, borrowed under a permit to send one statement."""

from typing import TypeAlias, final

import attrs

from mimosapond.groups.admission_permit import Permit
from mimosapond.groups.admission_request import AdmissionRequest, NotAdmitted
from mimosapond.groups.connection_lease import ConnectionLease
from mimosapond.groups.no_connection import NoConnection
from mimosapond.groups.member import Member
from mimosapond.groups.statement_class import StatementClass
from mimosapond.routing.work import Work


@final
@attrs.frozen
class AdmittedConnection:
    """A leased connection and the permit of the statement that uses it."""

    connection: ConnectionLease
    permit: Permit

    def release(self) -> None:
        """Return the connection and the permit."""
        self.connection.release()
        self.permit.release()


BorrowOutcome: TypeAlias = AdmittedConnection | NotAdmitted | NoConnection


def admission_request(
    work: Work, *, is_in_transaction: bool = False
) -> AdmissionRequest:
    """Return the request to admit a statement."""
    return AdmissionRequest(
        StatementClass(work.route.priority, work.statement.is_write),
        work.workspace,
        work.deadline_s,
        is_in_transaction=is_in_transaction,
    )


async def borrow_admitted(
    member: Member,
    work: Work,
    wait_s: float,
    *,
    is_transaction: bool = False,
) -> BorrowOutcome:
    """Wait for a permit, then borrow a connection.

    Parameters
    ----------
    wait_s
        Longest wait for the connection; the wait for the permit ends at the
        deadline of the work.
    is_transaction
        Whether a transaction is to begin on the connection.
    """
    permit = await member.admission.admit(admission_request(work))
    if isinstance(permit, NotAdmitted):
        return permit
    outcome: ConnectionLease | NoConnection | None = None
    try:
        outcome = await member.pool.borrow(
            work.route.priority,
            wait_s,
            work.values,
            work.workspace,
            is_transaction=is_transaction,
        )
    finally:
        if not isinstance(outcome, ConnectionLease):
            permit.release()
    if isinstance(outcome, ConnectionLease):
        return AdmittedConnection(outcome, permit)
    if not outcome.is_reachable:
        member.admission.restart()
    elif not member.pool.open_count:
        # The member accepts no connection of this host at all. Those who wait
        # for a permit would each find that out in turn.
        member.admission.refuse_waiting()
    return outcome
