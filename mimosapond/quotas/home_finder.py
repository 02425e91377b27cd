"""Finds the home of one workspace, and asks it for tokens."""

from collections.abc import Iterator
from typing import Final, Protocol, final

from mimosapond.peers.peer import Peer
from mimosapond.quotas.home_ranking import HomeRanking
from mimosapond.quotas.quota_messages import (
    QuotaAnswer,
    QuotaPeers,
    QuotaRequest,
    TakeTokens,
    TokensGranted,
)

# Time after which the next host of the ranking is asked.
_ANSWER_TIMEOUT_S: Final = 0.15
# Hosts that are asked for one request.
_ASKED_COUNT: Final = 3


class QuotaAnswerer(Protocol):
    """Answers requests about quotas, of other hosts and of this one."""

    async def answer(self, request: QuotaRequest) -> QuotaAnswer | None:
        """Return the answer to a request."""


@final
class HomeFinder:
    """Keeps the home that answers for as long as it is announced."""

    def __init__(
        self,
        ranking: HomeRanking,
        peers: QuotaPeers,
        own_service: QuotaAnswerer,
    ) -> None:
        """Create a finder that does not know the home yet."""
        self._ranking = ranking
        self._peers = peers
        self._own_service = own_service
        self._home: str | None = None

    @property
    def own_host(self) -> str:
        """Name of this host."""
        return self._ranking.own.host

    async def ask(self, request: TakeTokens) -> TokensGranted | None:
        """Return the answer of the home, or of the next host of the ranking.

        Returns
        -------
        TokensGranted | None
            None if none of the hosts answered.
        """
        if not self._ranking.is_loaded:
            return None
        for asked_count, peer in enumerate(self._candidates(request.workspace)):
            if asked_count == _ASKED_COUNT:
                break
            answer = await self._ask_peer(peer, request)
            if isinstance(answer, TokensGranted):
                # A former home names the new one, which is adopted if this
                # host knows it as well.
                known = self._ranking.find(answer.home)
                self._home = peer.host if known is None else known.host
                return answer
            self._home = None
        return None

    async def _ask_peer(
        self, peer: Peer, request: TakeTokens
    ) -> QuotaAnswer | None:
        if peer.host == self.own_host:
            return await self._own_service.answer(request)
        return await self._peers.ask(peer, request, _ANSWER_TIMEOUT_S)

    def _candidates(self, workspace: str) -> Iterator[Peer]:
        kept = None if self._home is None else self._ranking.find(self._home)
        if kept is not None:
            yield kept
        for peer in self._ranking.rank(workspace):
            if peer is not kept and self._is_asked(peer):
                yield peer

    def _is_asked(self, peer: Peer) -> bool:
        is_own = peer.host == self.own_host
        return is_own or self._ranking.is_available(peer)
