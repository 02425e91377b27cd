"""Forwards an operator's promotion of a member to the holder of its group.

The holder makes the change, because only the holder can pause and resume the
writes. The request contains the term that this host knows. If two operators act
on the same state, one of them is therefore told that the group has changed.
"""

from collections.abc import Mapping
from typing import Any, Final, final

import attrs

from mimosapond import codec
from mimosapond.cluster_map import Hosts
from mimosapond.errors import refuse
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.host_client import HostClient
from mimosapond.operator_results import PromoteResult
from mimosapond.peer_results import PeerAnswered, PeerRejected, PeerUnavailable
from mimosapond.refusal_reason import RefusalReason
from mimosapond.refused import Refused
from mimosapond.unknown import Unknown

# Greater than the sum of the time limits of a planned switchover.
_TIMEOUT_S: Final = 5
_RETRY_AFTER_MS: Final = 1000


@final
@attrs.frozen
class OperatorPromotion:
    """Requests planned switchovers from the holders of groups."""

    hosts: Hosts
    views: GroupViews
    caller: HostClient

    async def promote(self, group: str, member: str) -> PromoteResult:
        """Make ``member`` the primary of ``group``.

        Returns
        -------
        GroupView, Refused or Unknown
            The new view; a refusal if the primary is unchanged; ``Unknown``
            if the request was sent but not answered.
        """
        view = self.views.get(group)
        holder = None if view is None else self.hosts.host(view.holder)
        if view is None or holder is None:
            return _failed(group, member, 'no holder is known')
        answer = await self.caller.call(
            holder,
            'switchover',
            {'group': group, 'member': member, 'term': view.term},
            _TIMEOUT_S,
        )
        match answer:
            case PeerAnswered(body={'view': moved}):
                return codec.decode(GroupView, moved)
            case PeerAnswered(body=body):
                return _refused(body['refused'])
            case PeerRejected(message=problem):
                return _failed(group, member, f'term {view.term}: {problem}')
            case PeerUnavailable(problem, sent) if sent:
                return _unsettled(group, problem)
            case PeerUnavailable(problem):
                return _failed(group, member, problem)


def _refused(body: Mapping[str, Any]) -> Refused:
    outcome = codec.decode_outcome(body)
    if isinstance(outcome, Refused):
        return outcome
    raise TypeError(f'expected a refusal, got {outcome!r}')


def _failed(group: str, member: str, problem: str) -> Refused:
    return refuse(
        RefusalReason.PROMOTION_FAILED,
        group=group,
        member=member,
        problem=problem,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _unsettled(group: str, problem: str) -> Unknown:
    return Unknown(
        request_id=group,
        message=f'The holder may have changed the primary: {problem}',
        remedy='Read the group in the status before you promote again.',
    )
