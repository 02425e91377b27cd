"""Log lines on why a member is promoted, or none is."""

from loguru import logger

from mimosapond.failover.control_requests import MemberReport
from mimosapond.failover.group_statuses import GroupStatuses
from mimosapond.groups.group import Group


def log_promotion_proof(
    group: Group, candidate: MemberReport, paused: GroupStatuses
) -> None:
    """Log why a promotion loses no commit that was acknowledged to a caller."""
    logger.bind(
        group=group.name,
        member=candidate.member.member_id,
        at=str(candidate.status.received),
        paused=paused.positions,
        silent=[member.member_id for member in paused.silent_members],
        lead_start=str(group.lead.begin if group.lead else ''),
        knowledge=paused.knowledge.value,
    ).info('promotion_proof')


def log_aborted_change(
    group: Group, token: int, fenced: MemberReport | None, outcome: str
) -> None:
    """Log that a change is given up, and whether late calls are fenced off.

    Parameters
    ----------
    token
        Fencing token of the change.
    fenced
        The primary that a call under the token named, so that the platform
        refuses older calls; None if no primary is known.
    outcome
        Result of that call.
    """
    logger.bind(
        group=group.name,
        token=token,
        primary=fenced.member.member_id if fenced else '',
        fence=outcome,
    ).warning('change_aborted')


def log_unsafe_promotion(group: Group, answers: GroupStatuses) -> None:
    """Log who is silent in a group whose primary is not replaced now."""
    primary = answers.primary
    logger.bind(
        group=group.name,
        silent=[member.member_id for member in answers.silent_members],
        primary=primary.member.member_id if primary else '',
    ).warning('promotion_not_safe')
