"""What a read at a member ends as, once its answer is there."""

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


def check_floor(
    run: PeerRun,
    answered: TargetAnswered,
    *,
    age_ms: int,
    is_confirmed: bool,
) -> Outcome:
    """Return the answer if it shows the session's writes and is young enough.

    Parameters
    ----------
    is_confirmed
        Whether the member was the primary after the read.
    """
    if not _includes_floor(run, answered.standing):
        if is_confirmed:
            return _refuse_missing(run, answered.standing)
        return refuse_read(run, 'it has not applied the last write yet')
    # A read without a bound is held to the strictest one.
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
    """Report a floor that the log of a confirmed primary does not show."""
    floor = run.floor
    if floor is not None and floor.term < standing.oldest_term:
        return refuse(
            RefusalReason.BAD_TOKEN,
            problem='it is older than the changes of term that are remembered',
        )
    token = run.request.token
    if token is None and run.floor is not None:
        token = str(Token(run.group, run.floor.term, run.floor.position))
    return refuse(RefusalReason.SESSION_WRITE_LOST, token=token)


def refuse_rejected(run: PeerRun, reason: str, message: str) -> Refused:
    """Refuse a read that the member rejected."""
    if reason == _SQL_ERROR:
        return refuse(RefusalReason.SQL_ERROR, problem=message)
    return refuse_read(run, message)


def refuse_read(run: PeerRun, problem: str) -> Refused:
    """Refuse a read that another member may serve."""
    return refuse(
        RefusalReason.NO_TARGET,
        retry_after_ms=1,
        group=run.group,
        problem=f'{run.member}: {problem}',
    )
