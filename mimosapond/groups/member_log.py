"""Log lines on the processes of members, as their registrations show them."""

from loguru import logger

from mimosapond.groups.member import Member
from mimosapond.groups.member_process import MemberProcess
from mimosapond.groups.member_record import MemberRecord


def process_label(process: MemberProcess) -> str:
    """Return ``id@start``, which names a process in log lines."""
    return f'{process.member_id}@{process.born_ms}'


def log_new_start(known: Member | None, record: MemberRecord) -> None:
    """Log that a member started again under its id.

    A registration that does not tell the start, for example one that a host of
    an earlier version handed on, is no evidence of a new one.

    Parameters
    ----------
    known
        The member as it was known before; None if it was not.
    """
    if known is None or None in {known.record.born_ms, record.born_ms}:
        return
    if known.record.born_ms != record.born_ms:
        logger.bind(
            group=record.group,
            member=record.member_id,
            born_ms=record.born_ms,
            former_born_ms=known.record.born_ms,
        ).warning('member_started_again')
