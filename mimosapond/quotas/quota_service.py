"""Answers requests for tokens of the workspaces that this host is home of."""

import asyncio
import math
import random
from collections.abc import Coroutine
from typing import Any, Final, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.configuration.workspace import Workspace
from mimosapond.peers.peer import Peer
from mimosapond.quotas.bucket_claims import BucketClaims
from mimosapond.quotas.contact_tracker import ContactTracker
from mimosapond.quotas.home_ranking import HomeRanking
from mimosapond.quotas.quota_home import FindWorkspace, QuotaHome
from mimosapond.quotas.quota_messages import (
    ClaimBucket,
    Greeted,
    Greeting,
    QuotaAnswer,
    QuotaPeers,
    QuotaRequest,
    TakeTokens,
    TokensGranted,
)

_ROUND_INTERVAL_S: Final = 0.1
# Time without a round after which this host counts as frozen: others may have
# found a new home meanwhile. They do so after a request without an answer.
_FREEZE_LIMIT_S: Final = 0.2
_FORWARD_TIMEOUT_S: Final = 0.06
_GREETING_TIMEOUT_S: Final = 0.2
# Two hosts that both have a bucket of a workspace grant too much for this long
# at most, so that the time is a part of the tolerated excess.
_RECLAIM_INTERVAL_S: Final = 0.2


@final
@attrs.frozen
class QuotaServiceParts:
    """Parts of the service.

    Parameters
    ----------
    find_workspace
        Looks a workspace up in the configuration in force.
    """

    home: QuotaHome
    claims: BucketClaims
    contacts: ContactTracker
    ranking: HomeRanking
    peers: QuotaPeers
    find_workspace: FindWorkspace
    now: Now


@final
class QuotaService:
    """Grants tokens, passes requests on, and follows its contacts."""

    def __init__(self, parts: QuotaServiceParts) -> None:
        """Create a service; ``run`` has to run as well."""
        self._parts = parts
        self._round_s = parts.now()
        self._reclaimed_s = -math.inf
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Greet other data centres and claim buckets until cancelled."""
        while True:
            await asyncio.sleep(_ROUND_INTERVAL_S)
            self.run_round()

    def run_round(self) -> None:
        """Do the regular work once."""
        self._check_freeze()
        self._round_s = self._parts.now()
        self._greet()
        self._reclaim()
        self._parts.home.forget_removed()
        self._parts.claims.forget_removed(self._is_configured)

    async def answer(self, request: QuotaRequest) -> QuotaAnswer | None:
        """Return the answer to a request of a host, also of this one.

        Returns
        -------
        QuotaAnswer | None
            None if the configuration of this host lacks the workspace.
        """
        self._parts.contacts.record(request.host)
        self._check_freeze()
        match request:
            case TakeTokens():
                return await self._take(request)
            case ClaimBucket(workspace=name):
                if self._parts.find_workspace(name) is None:
                    return None
                return self._parts.claims.answer(request)
            case Greeting():
                return Greeted()

    def _is_configured(self, name: str) -> bool:
        return self._parts.find_workspace(name) is not None

    async def _take(self, request: TakeTokens) -> TokensGranted | None:
        workspace = self._parts.find_workspace(request.workspace)
        if workspace is None or not self._parts.ranking.is_loaded:
            return None
        parts = self._parts
        if not parts.home.is_certain(workspace.name):
            granted = await self._forward(request)
            if granted is not None:
                return granted
            await parts.claims.claim(workspace)
        if parts.home.is_certain(workspace.name):
            return self._grant(workspace, request)
        return await self._forward(request)

    def _grant(
        self, workspace: Workspace, request: TakeTokens
    ) -> TokensGranted:
        granted, retry_after_ms = self._parts.home.grant(
            workspace,
            request.count,
            request.waiting_count,
            self._parts.contacts.share_ratio(),
        )
        own = self._parts.ranking.own.host
        return TokensGranted(granted, retry_after_ms, own)

    async def _forward(self, request: TakeTokens) -> TokensGranted | None:
        name = request.workspace
        successor = self._parts.claims.successor(name)
        if successor is None or request.is_forwarded:
            return None
        answer = await self._parts.peers.ask(
            successor,
            attrs.evolve(
                request, host=self._parts.ranking.own.host, is_forwarded=True
            ),
            _FORWARD_TIMEOUT_S,
        )
        if isinstance(answer, TokensGranted):
            self._parts.contacts.record_peer(successor)
            return answer
        self._parts.claims.forget_successor(name)
        return None

    def _check_freeze(self) -> None:
        now_s = self._parts.now()
        if now_s - self._round_s > _FREEZE_LIMIT_S:
            self._parts.home.doubt_all()
            self._round_s = now_s

    def _greet(self) -> None:
        """Send a greeting to data centres that were silent for a moment."""
        if not self._parts.home.used_names():
            return
        silent = self._parts.contacts.to_greet()
        others = self._parts.ranking.others
        for name in silent:
            hosts = [peer for peer in others if peer.data_centre == name]
            if hosts:
                self._start(self._greet_peer(random.choice(hosts)))

    async def _greet_peer(self, peer: Peer) -> None:
        answer = await self._parts.peers.ask(
            peer, Greeting(self._parts.ranking.own.host), _GREETING_TIMEOUT_S
        )
        if answer is not None:
            self._parts.contacts.record_peer(peer)

    def _reclaim(self) -> None:
        """Claim the buckets again that another host may have as well."""
        now_s = self._parts.now()
        if now_s - self._reclaimed_s < _RECLAIM_INTERVAL_S:
            return
        self._reclaimed_s = now_s
        share_ratio = self._parts.contacts.share_ratio()
        for name in self._parts.home.to_reclaim(share_ratio):
            workspace = self._parts.find_workspace(name)
            if workspace is not None:
                self._start(self._parts.claims.claim(workspace))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
