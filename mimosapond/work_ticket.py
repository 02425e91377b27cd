"""The properties of a request that the scheduler of a member needs."""

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
        Priority in the order of service.
    deadline_s
        Value of ``Clock.monotonic_s`` at which the work must have started.
    fingerprint
        Identifies the SQL text, see ``build_fingerprint``.
    connection_limit_count
        Number of connections that the workspace may hold at the member.
    is_long
        Whether the caller declares the statement as long or short. None if the
        owner decides by the duration of earlier runs.
    keeps_connection
        Whether the grant is parked between statements. Set for the begin of an
        interactive transaction.
    group, term
        Written with each decision. The term is None for reads, which may use
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

    Tables that are keyed by SQL text store digests, whose size is bounded.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for statement in statements:
        digest.update(statement.sql.encode())
        digest.update(b'\0')
    return digest.hexdigest()
