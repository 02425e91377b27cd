"""Asks other keepers of a group whether they reach its primary."""

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

# Time for the answer of a keeper in addition to the check timeout. The keeper
# checks the primary before it answers, which takes the whole check timeout if
# the primary is unreachable. With 0.15 s, answers came too late on a loaded
# machine, and a promotion was delayed until the next attempt.
_ANSWER_MARGIN_S: Final = 0.35


@final
@attrs.frozen
class Opinions:
    """Answers of the other keepers of a group.

    Attributes
    ----------
    asked
        Ids of the hosts asked; hosts without a usable answer have no entry in
        ``answers``.
    answers
        Pairs of host id and whether the host reaches the primary.
    """

    asked: tuple[str, ...]
    answers: tuple[tuple[str, bool], ...]

    @property
    def allow_promotion(self) -> bool:
        """Whether another keeper answers and none reaches the primary.

        The keepers in all data centres are asked, and all answers are awaited,
        so a keeper in another data centre counts if it answers.
        """
        if not self.answers:
            return False
        return not any(is_reachable for _, is_reachable in self.answers)


@final
class OpinionCollector:
    """Collects the opinions of the members' preferred owners.

    These hosts run a keeper for the group. This host is not asked.
    """

    def __init__(
        self,
        parts: TermParts,
        peers: PeerPort,
        placement: OwnerLookup,
    ) -> None:
        """Create a collector for the host of ``parts``."""
        self._parts = parts
        self._peers = peers
        self._placement = placement

    def keepers(self, group: GroupSpec) -> tuple[HostRecord, ...]:
        """Return the owners of the members, each once, in member order."""
        owners = (self._placement.owner_of(member) for member in group.members)
        by_id = {owner.host_id: owner for owner in owners if owner is not None}
        return tuple(by_id.values())

    async def collect(self, group: GroupSpec, term: int) -> Opinions:
        """Ask all other keepers whether they reach the primary of ``term``."""
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
            tuple(_valid_answers(others, answers)),
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


def _valid_answers(
    hosts: tuple[HostRecord, ...],
    answers: Iterable[bool | None],
) -> Iterable[tuple[str, bool]]:
    for host, answer in zip(hosts, answers, strict=True):
        if answer is not None:
            yield host.host_id, answer
