"""What the scheduler of a member has to know of a request."""

import hashlib
from collections.abc import Iterable
from typing import Final, final

import attrs

from mimosapond.statement import Statement
from mimosapond.work_class import WorkClass

_DIGEST_BYTES: Final = 16


@final
@attrs.frozen
class WorkTicket:
    """One request for a slot and a connection.

    Attributes
    ----------
    request_id, workspace
        Copied from the request.
    work_class
        Order of service.
    deadline_s
        Value of ``Clock.monotonic_s`` after which the work must not start.
    fingerprint
        Identifies the SQL text, see ``build_fingerprint``.
    connection_limit_count
        Connections the workspace may hold at the member.
    is_long
        Declares a long statement; None lets the owner learn it.
    keeps_connection
        Set for the begin of an interactive transaction, whose grant is
        parked between statements.
    group, term
        Written with each decision; the term is None for reads, which take
        members of any term.
    """

    request_id: str
    work_class: WorkClass
    workspace: str
    deadline_s: float
    fingerprint: str
    connection_limit_count: int
    is_long: bool | None = None
    keeps_connection: bool = False
    group: str = ''
    term: int | None = None


def build_fingerprint(statements: Iterable[Statement]) -> str:
    """Return a digest of the SQL texts, without their parameters.

    A digest bounds the memory of tables that are keyed by SQL text.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for statement in statements:
        digest.update(statement.sql.encode())
        digest.update(b'\0')
    return digest.hexdigest()
