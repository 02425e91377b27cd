"""Run-time checks of the scheduler's rules, which raise a typed error."""

from loguru import logger

from mimosapond.scheduler_invariant_error import SchedulerInvariantError


def check_invariant(rule: str, member: str, *, holds: bool) -> None:
    """Log and raise an error if ``holds`` is false.

    Raises
    ------
    SchedulerInvariantError
        The program is faulty; no caller can cause this.
    """
    if holds:
        return
    logger.bind(rule=rule, member=member).error('scheduler_invariant_broken')
    raise SchedulerInvariantError(f'{member}: {rule} does not hold')
