"""Claims of buckets, by which a workspace gets a new home.

A host that is asked for tokens without having the bucket asks the hosts that
may have it to give it up. They pass requests on to the new home afterwards, so
hosts that know different announcements use one bucket.
"""

import asyncio
from collections.abc import Callable, Iterable
from typing import Final, Self, final

import attrs
from loguru import logger

from mimosapond.configuration.workspace import Workspace
from mimosapond.metrics import Metrics
from mimosapond.peers.peer import Peer
from mimosapond.quotas.contact_tracker import ContactTracker
from mimosapond.quotas.home_ranking import HomeRanking
from mimosapond.quotas.quota_home import QuotaHome
from mimosapond.quotas.quota_messages import (
    BucketYielded,
    ClaimBucket,
    QuotaPeers,
)

# Two tries are shorter than the time after which the next host of a ranking is
# asked.
_CLAIM_TIMEOUT_S: Final = 0.04


@final
@attrs.define
class _ClaimResult:
    """Answers to a claim.

    Parameters
    ----------
    winner
        Host that claims the bucket as well, and comes first.
    """

    levels: list[float] = attrs.Factory(list)
    unheard: frozenset[str] = frozenset()
    winner: Peer | None = None

    @classmethod
    def collect(
        cls, answers: Iterable[tuple[Peer, BucketYielded | None]]
    ) -> Self:
        """Return what hosts answered."""
        collected = cls()
        for peer, answer in answers:
            match answer:
                case None:
                    collected.unheard |= {peer.host}
                case BucketYielded(is_claiming=True):
                    collected.winner = peer
                case BucketYielded(level_count=float() as level):
                    collected.levels.append(level)
        return collected


@final
class BucketClaims:
    """Claims buckets, and yields them to other hosts."""

    def __init__(
        self,
        home: QuotaHome,
        ranking: HomeRanking,
        contacts: ContactTracker,
        peers: QuotaPeers,
        metrics: Metrics,
    ) -> None:
        """Create claims without successors.

        Parameters
        ----------
        home
            Has the buckets of this host.
        ranking
            Names the hosts that may have a bucket.
        contacts
            Is told which hosts answered.
        peers
            Sends the claims.
        """
        self._home = home
        self._ranking = ranking
        self._contacts = contacts
        self._peers = peers
        self._metrics = metrics
        self._running: dict[str, asyncio.Task[None]] = {}
        self._successors: dict[str, Peer] = {}
        # The last host that a bucket was given up to, and its level then.
        self._yielded: dict[str, tuple[str, float]] = {}

    def successor(self, name: str) -> Peer | None:
        """Return the host that this one gave a bucket to."""
        return self._successors.get(name)

    def forget_successor(self, name: str) -> None:
        """Forget a successor that does not answer."""
        self._successors.pop(name, None)

    async def claim(self, workspace: Workspace) -> None:
        """Claim a bucket; requests at the same time share one claim."""
        task = self._running.get(workspace.name)
        if task is None:
            task = asyncio.create_task(self._claim(workspace))
            self._running[workspace.name] = task
            task.add_done_callback(
                lambda _: self._running.pop(workspace.name, None)
            )
        await asyncio.shield(task)

    def answer(self, request: ClaimBucket) -> BucketYielded:
        """Give up a bucket, unless this host claims it and comes first.

        Of two hosts that claim at the same time, the one whose name is lower
        comes first.
        """
        name = request.workspace
        if name in self._running and self._ranking.own.host < request.host:
            return BucketYielded(is_claiming=True)
        self._successors[name] = Peer(
            request.host, request.address, request.data_centre
        )
        # The answer to the first try may have been lost.
        host, yielded_level = self._yielded.pop(name, ('', None))
        level = self._home.give_up(name)
        if level is not None:
            self._yielded[name] = request.host, level
        elif request.is_retry and host == request.host:
            level = yielded_level
        return BucketYielded(level)

    def forget_removed(self, is_configured: Callable[[str], bool]) -> None:
        """Forget what is known of workspaces that are no longer configured."""
        for known in (self._successors, self._yielded):
            for name in [name for name in known if not is_configured(name)]:
                known.pop(name)

    async def _claim(self, workspace: Workspace) -> None:
        name = workspace.name
        self._successors.pop(name, None)
        self._yielded.pop(name, None)
        was_home = self._home.has_bucket(name)
        asked = self._ranking.claimed(name)
        answers = await asyncio.gather(
            *(self._ask(peer, name) for peer in asked)
        )
        result = _ClaimResult.collect(zip(asked, answers, strict=True))
        if result.winner is not None:
            self._successors[name] = result.winner
        if name in self._successors:
            self._home.give_up(name)
            return
        self._home.install(
            workspace,
            result.levels,
            self._contacts.share_ratio(),
            is_complete=not result.unheard,
        )
        if not was_home:
            self._metrics.count('quota.home_changes')
            logger.bind(
                workspace=name,
                is_handed_over=bool(result.levels),
                unheard=sorted(result.unheard),
            ).info('quota_home_changed')

    async def _ask(self, peer: Peer, name: str) -> BucketYielded | None:
        own = self._ranking.own
        for is_retry in (False, True):
            claim = ClaimBucket(
                own.host, own.address, own.data_centre, name, is_retry
            )
            answer = await self._peers.ask(peer, claim, _CLAIM_TIMEOUT_S)
            if isinstance(answer, BucketYielded):
                self._contacts.record_peer(peer)
                return answer
        return None
