"""Log lines about the admission to one member, bounded in number."""

import collections
from typing import Final, final

from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.groups.concurrency_limit import Response

# At most one line for each member in this time, and none while the member
# serves everything at once.
_INTERVAL_S: Final = 5.0


@final
class AdmissionReport:
    """Counts admissions, refusals and responses between two log lines."""

    def __init__(self, member_id: str, now: Now) -> None:
        """Start without counts."""
        self._member_id = member_id
        self._now = now
        self._written_s = now()
        self._admitted_count = 0
        self._refused_count = 0
        self._responses: collections.Counter[Response] = collections.Counter()

    def record_admission(self) -> None:
        """Count a statement that was admitted."""
        self._admitted_count += 1

    def record_refusal(self) -> None:
        """Count a statement that this host refused."""
        self._refused_count += 1

    def record_response(self, response: Response, limit_count: int) -> None:
        """Count a response of the member, and write a line if one is due."""
        self._responses[response] += 1
        now_s = self._now()
        if now_s - self._written_s < _INTERVAL_S:
            return
        self._written_s = now_s
        rejected_count = self._responses[Response.refused]
        timed_out_count = self._responses[Response.timed_out]
        if self._refused_count or rejected_count or timed_out_count:
            logger.bind(
                member=self._member_id,
                limit=limit_count,
                admitted=self._admitted_count,
                refused=self._refused_count,
                rejected_by_member=rejected_count,
                timed_out=timed_out_count,
            ).info('member_admission')
        self._admitted_count = 0
        self._refused_count = 0
        self._responses.clear()
