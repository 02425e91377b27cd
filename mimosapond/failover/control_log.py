"""Log lines on pauses of replicas and their ends, one for each change."""

from collections.abc import Collection, Mapping
from typing import Final, TypeAlias

from loguru import logger

from mimosapond.groups.member import Member
from mimosapond.groups.member_answer import LinkLost, Rejected
from mimosapond.groups.member_log import process_label
from mimosapond.groups.member_port import StatusAnswer
from mimosapond.groups.member_status import MemberStatus
from mimosapond.groups.no_connection import NoConnection

ControlAnswer: TypeAlias = StatusAnswer | NoConnection

# Members that are known to be unreachable get only a short time to answer.
_NOT_AWAITED: Final = 'unreachable before, not awaited'


def log_pause(
    token: int,
    asked: Collection[Member],
    answers: Mapping[Member, ControlAnswer],
) -> None:
    """Log who was paused at which position, and why others were not.

    Parameters
    ----------
    token
        Fencing token of the claim under which the members were asked.
    asked
        Members of one group.
    answers
        Answers by member; without the members whose answer was not awaited.
    """
    if not asked:
        return
    texts = _texts(token, asked, answers)
    paused = {
        process_label(member.record.process)
        for member, answer in answers.items()
        if _paused_term(answer) == token
    }
    logger.bind(
        group=_group_name(asked),
        token=token,
        paused=_select(texts, paused),
        not_paused=_select(texts, texts.keys() - paused),
    ).info('replicas_paused')


def log_resume(
    token: int,
    asked: Collection[Member],
    answers: Mapping[Member, ControlAnswer],
) -> None:
    """Log who receives again from which position, and why others do not.

    Parameters
    ----------
    token, asked, answers
        As for ``log_pause``.
    """
    if not asked:
        return
    texts = _texts(token, asked, answers)
    resumed = {
        process_label(member.record.process)
        for member, answer in answers.items()
        if _paused_term(answer) == 0
    }
    logger.bind(
        group=_group_name(asked),
        token=token,
        resumed=_select(texts, resumed),
        not_resumed=_select(texts, texts.keys() - resumed),
    ).info('replicas_resumed')


def _group_name(members: Collection[Member]) -> str:
    return next(iter(members)).record.group


def _select(
    texts: Mapping[str, str], labels: Collection[str]
) -> dict[str, str]:
    return {label: texts[label] for label in texts if label in labels}


def _texts(
    token: int,
    asked: Collection[Member],
    answers: Mapping[Member, ControlAnswer],
) -> dict[str, str]:
    """Return what each member answered, by the label of its process."""
    return {
        process_label(member.record.process): _text(token, answers.get(member))
        for member in asked
    }


def _paused_term(answer: ControlAnswer) -> int | None:
    return answer.paused_term if isinstance(answer, MemberStatus) else None


def _status_text(token: int, status: MemberStatus) -> str:
    """Return a position, and the state unless that follows from the list."""
    if status.is_primary:
        return f'{status.received} primary'
    if status.paused_term in {0, token}:
        return str(status.received)
    return f'{status.received} paused {status.paused_term}'


def _text(token: int, answer: ControlAnswer | None) -> str:
    """Return the position and state of a member, or why there is no answer."""
    match answer:
        case MemberStatus():
            return _status_text(token, answer)
        case Rejected(kind=kind):
            return kind.value
        case NoConnection(reason=reason, is_reachable=True):
            return f'{reason} (reachable)'
        case LinkLost(reason=reason) | NoConnection(reason=reason):
            return reason
        case None:
            return _NOT_AWAITED
