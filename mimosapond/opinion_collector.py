"""Asks the keepers of a group's other members about its primary."""

import asyncio
from collections.abc import Iterable
from typing import Final, final

import attrs

from mimosapond.group_spec import GroupSpec
from mimosapond.host_directory import OwnerLookup
from mimosapond.host_record import HostRecord
from mimosapond.peer_port import PeerPort
from mimosapond.peer_results import PeerAnswered
from mimosapond.term_parts import TermParts

# A keeper checks the primary itself before it answers, which takes the whole
# check timeout when the primary is silent. With 0.15 s, answers came too late on
# a loaded machine and a promotion waited for the next attempt.
_ANSWER_MARGIN_S: Final = 0.35


@final
@attrs.frozen
class Opinions:
    """Answers of all keepers that were asked, by host id.

    Attributes
    ----------
    asked
        Hosts asked; those that are silent have no entry in ``answers``.
    answers
        Pairs of host id and whether the host reaches the primary.
    """

    asked: tuple[str, ...]
    answers: tuple[tuple[str, bool], ...]

    @property
    def allow_promotion(self) -> bool:
        """Whether another keeper answers and none reaches the primary.

        All keepers in all data centres are asked and waited for, so one in
        another data centre is heard wherever one answers.
        """
        if not self.answers:
            return False
        return not any(is_reachable for _, is_reachable in self.answers)


@final
class OpinionCollector:
    """Asks the preferred owners of the members, except this host."""

    def __init__(
        self,
        parts: TermParts,
        peers: PeerPort,
        placement: OwnerLookup,
    ) -> None:
        """Ask for the host of ``parts``."""
        self._parts = parts
        self._peers = peers
        self._placement = placement

    def keepers(self, group: GroupSpec) -> tuple[HostRecord, ...]:
        """Return the owners of the members, in the order of the members."""
        owners = (self._placement.owner_of(member) for member in group.members)
        by_id = {owner.host_id: owner for owner in owners if owner is not None}
        return tuple(by_id.values())

    async def collect(self, group: GroupSpec, term: int) -> Opinions:
        """Ask all other keepers whether they reach the primary."""
        others = tuple(
            host
            for host in self.keepers(group)
            if host.host_id != self._parts.host_id
        )
        answers = await asyncio.gather(
            *(self._ask(host, group.name, term) for host in others),
        )
        return Opinions(
            tuple(host.host_id for host in others),
            tuple(_known(others, answers)),
        )

    async def _ask(
        self,
        host: HostRecord,
        group_name: str,
        term: int,
    ) -> bool | None:
        answer = await self._peers.call(
            host.address,
            'opinion',
            {'group': group_name, 'term': term},
            self._parts.check_timeout_s + _ANSWER_MARGIN_S,
            fresh=True,
        )
        if not isinstance(answer, PeerAnswered):
            return None
        is_reachable = answer.body.get('reachable')
        return is_reachable if isinstance(is_reachable, bool) else None


def _known(
    hosts: tuple[HostRecord, ...],
    answers: Iterable[bool | None],
) -> Iterable[tuple[str, bool]]:
    for host, answer in zip(hosts, answers, strict=True):
        if answer is not None:
            yield host.host_id, answer
