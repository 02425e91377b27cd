"""Log lines on a promotion: its calls, their answers and its effect.

A call may take effect long after it was made, so the times are logged apart.
"""

from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.failover.control_requests import MemberReport
from mimosapond.failover.promotion_port import PromotionOutcome
from mimosapond.groups.group import Group

_MS_PER_S: Final = 1000


@final
class PromotionCallLog:
    """Logs the calls of one promotion under one token."""

    def __init__(
        self, group: Group, candidate: MemberReport, token: int, now: Now
    ) -> None:
        """Log for a member and its last status before the first call.

        Parameters
        ----------
        token
            Fencing token of the calls.
        """
        self._fields = {
            'group': group.name,
            'member': candidate.member.member_id,
            'at': str(candidate.status.received),
            'token': token,
        }
        self._now = now
        self._call_count = 0
        self._called_s: float = 0
        self._first_called_s: float = 0

    def log_call(self) -> None:
        """Log that the platform is called now.

        The host may end before the answer, and the call takes effect then.
        """
        self._called_s = self._now()
        if self._call_count == 0:
            self._first_called_s = self._called_s
        self._call_count += 1
        logger.bind(**self._fields, call=self._call_count).info(
            'promotion_called'
        )

    def log_answer(self, outcome: PromotionOutcome) -> None:
        """Log the answer to the last call, or why there is none."""
        call_ms = _duration_ms(self._now() - self._called_s)
        logger.bind(**self._fields, outcome=str(outcome), call_ms=call_ms).info(
            'promotion'
        )

    def log_effect(self, *, leads: bool) -> None:
        """Log whether the member was seen to lead after an accepted call."""
        since_call_ms = _duration_ms(self._now() - self._first_called_s)
        logger.bind(
            **self._fields, leads=leads, since_call_ms=since_call_ms
        ).info('promotion_effect')


def _duration_ms(duration_s: float) -> int:
    return round(duration_s * _MS_PER_S)
