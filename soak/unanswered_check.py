"""Judges the requests that ended without an answer.

The rule is the platform's: around planned work, a host that has read a whole
request gives a complete answer. Whether it was read is known if a member
received the request, or if the connection stayed open for longer than a host
needs to read it.
"""

from collections.abc import Collection, Iterable
from typing import Final, final

import attrs

from soak.disruption_log import DisruptionLog
from soak.violation import ViolationLog

# As in the settings of the hosts and on the platform's pages.
STOP_GRACE_S: Final = 6.0
_AFTER_STOP_S: Final = 1.0
_APPLY_S: Final = 3.0
_STABLE_WINDOW_S: Final = 4.0
_READ_SLACK_S: Final = 0.2


@final
@attrs.frozen
class UnansweredRequest:
    """A request on a connection that its host closed without an answer.

    Attributes
    ----------
    sent_s, ended_s
        Times on the monotonic clock at which it was sent, and at which the
        connection ended.
    """

    request_id: str
    text: str
    host: str
    sent_s: float
    ended_s: float


@final
class UnansweredCheck:
    """Reports the unanswered requests that planned work does not excuse."""

    def __init__(self, log: DisruptionLog, violations: ViolationLog) -> None:
        """Judge by what ``log`` has recorded."""
        self._log = log
        self._violations = violations

    def check(
        self,
        requests: Iterable[UnansweredRequest],
        received_ids: Collection[str],
    ) -> int:
        """Report violations and return the number of requests judged.

        Parameters
        ----------
        received_ids
            Requests that reached a member.
        """
        judged_count = 0
        for request in requests:
            cause = self._planned_cause(request)
            if not cause or self._is_disrupted(request):
                continue
            judged_count += 1
            was_received = request.request_id in received_ids
            open_s = request.ended_s - request.sent_s
            if was_received or open_s > _READ_SLACK_S:
                self._report(request, cause, was_received=was_received)
        return judged_count

    def _is_disrupted(self, request: UnansweredRequest) -> bool:
        start_s = request.sent_s - _STABLE_WINDOW_S
        return self._log.is_disrupted(start_s, request.ended_s)

    def _planned_cause(self, request: UnansweredRequest) -> str:
        """Name the planned work around a request; empty without any."""
        ended_s = request.ended_s
        stop_s = self._log.last_stop_s(request.host, ended_s)
        if ended_s <= stop_s + STOP_GRACE_S + _AFTER_STOP_S:
            return f'{request.sent_s - stop_s:.3f} s after SIGTERM'
        reload_s = self._log.last_reload_s(request.host, ended_s)
        if request.sent_s <= reload_s + _APPLY_S:
            return f'{request.sent_s - reload_s:.3f} s after SIGHUP'
        change_s = self._log.last_change_s(ended_s)
        if ended_s <= change_s + _APPLY_S + 1:
            return f'{request.sent_s - change_s:.3f} s after a configuration'
        return ''

    def _report(
        self, request: UnansweredRequest, cause: str, *, was_received: bool
    ) -> None:
        open_s = request.ended_s - request.sent_s
        received = 'a member received it' if was_received else 'not received'
        self._violations.add(
            'UNANSWERED',
            request.host,
            [request.request_id],
            f'{request.text}: sent {cause}, closed after {open_s:.3f} s, '
            f'{received}',
        )
