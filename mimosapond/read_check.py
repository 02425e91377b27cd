"""Decides whether a member's answer to a read may be returned."""

from typing import Final

from mimosapond.completed import Completed
from mimosapond.errors import refuse
from mimosapond.outcome import Outcome
from mimosapond.peer_run import PeerRun
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.standing import Standing
from mimosapond.target_results import TargetAnswered
from mimosapond.token import Token

_SQL_ERROR: Final = 'sql_error'


def check_read(
    run: PeerRun,
    answered: TargetAnswered,
    *,
    age_ms: int,
    is_confirmed: bool,
) -> Outcome:
    """Complete the read if its data is fresh enough, else refuse it.

    Parameters
    ----------
    run
        Read request with its floor and its age bound.
    answered
        Answer of the member, with its standing after the read.
    age_ms
        Upper bound of the age of the data read.
    is_confirmed
        Whether the member was still the primary after the read.

    Returns
    -------
    Outcome
        ``Completed`` if the data includes the floor and is within the age
        bound, otherwise ``Refused``.
    """
    if not _includes_floor(run, answered.standing):
        if is_confirmed:
            return _refuse_missing(run, answered.standing)
        return refuse_read(run, 'it has not applied the last write yet')
    # Without a bound only current data is accepted.
    max_age_ms = run.request.max_age_ms or 0
    if age_ms > max_age_ms:
        return refuse(
            RefusalReason.TOO_STALE,
            retry_after_ms=age_ms - max_age_ms,
            member=run.member,
            age_ms=age_ms,
            max_age_ms=max_age_ms,
        )
    return Completed(
        results=answered.results,
        token=run.request.token,
        member=run.member,
        data_age_ms=age_ms,
    )


def _includes_floor(run: PeerRun, standing: Standing) -> bool:
    floor = run.floor
    return floor is None or standing.contains(floor.term, floor.position)


def _refuse_missing(run: PeerRun, standing: Standing) -> Refused:
    """Refuse a read whose floor is not in the log of a confirmed primary.

    The write was lost, unless its term is older than the log's history.
    """
    floor = run.floor
    if floor is not None and floor.term < standing.oldest_term:
        return refuse(
            RefusalReason.BAD_TOKEN,
            problem='it is older than the recorded history of terms',
        )
    token = run.request.token
    if token is None and run.floor is not None:
        token = str(Token(run.group, run.floor.term, run.floor.position))
    return refuse(RefusalReason.SESSION_WRITE_LOST, token=token)


def refuse_rejected(run: PeerRun, reason: str, message: str) -> Refused:
    """Refuse a read that the member rejected.

    Only an SQL error is final; after any other reason another member is tried.
    """
    if reason == _SQL_ERROR:
        return refuse(RefusalReason.SQL_ERROR, problem=message)
    return refuse_read(run, message)


def refuse_read(run: PeerRun, problem: str) -> Refused:
    """Refuse a read at this member so that another member is tried."""
    return refuse(
        RefusalReason.NO_TARGET,
        retry_after_ms=1,
        group=run.group,
        problem=f'{run.member}: {problem}',
    )
