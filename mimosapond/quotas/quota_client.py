"""Gets the tokens of a workspace from its home, ahead of need."""

import asyncio
from collections import deque
from typing import Final, TypeAlias, final

import attrs

from mimosapond.boot_clock import Now
from mimosapond.configuration.workspace import Workspace
from mimosapond.quotas.home_finder import HomeFinder
from mimosapond.quotas.quota_lender import QuotaLender
from mimosapond.quotas.quota_messages import TakeTokens, TokensGranted
from mimosapond.quotas.quota_terms import QuotaTerms

# Time for which a refusal by the home holds for later operations, so that a
# workspace far over its quota does not cost a request each time. It is at most
# the time until the home has another token.
_MAX_PAUSE_S: Final = 0.02
_MS_PER_S: Final = 1000
# Requests from this host without an answer, after which operations are refused.
_MAX_REQUESTED_COUNT: Final = 1000


@final
@attrs.frozen
class OverQuota:
    """The quota is used up.

    Parameters
    ----------
    retry_after_ms
        Time until the home has another token.
    """

    retry_after_ms: float


@final
@attrs.frozen
class NoHome:
    """No host that could grant a token answered."""


QuotaRefusal: TypeAlias = OverQuota | NoHome
_Waiter: TypeAlias = asyncio.Future[QuotaRefusal | None]


@final
class QuotaClient:
    """Spends the tokens of one workspace, and waits for more in order."""

    def __init__(self, finder: HomeFinder, terms: QuotaTerms, now: Now) -> None:
        """Create a client without tokens.

        Parameters
        ----------
        finder
            Sends requests to the home of the workspace.
        terms
            Say for how long tokens may be used.
        """
        self._finder = finder
        self._terms = terms
        self._now = now
        self._lender = QuotaLender()
        self._waiters: deque[tuple[str, _Waiter]] = deque()
        self._request: asyncio.Task[None] | None = None
        self._refused_until_s: float = 0
        self._retry_at_s: float = 0
        self.used_s = now()

    async def take(
        self, workspace: Workspace, version: int, request_id: str
    ) -> QuotaRefusal | None:
        """Spend a token, which may have to be requested first."""
        now_s = self._now()
        self.used_s = now_s
        if not self._waiters and self._lender.spend(request_id, now_s):
            self._request_ahead(workspace, version)
            return None
        if now_s < self._refused_until_s:
            return OverQuota((self._retry_at_s - now_s) * _MS_PER_S)
        waiter: _Waiter = asyncio.get_running_loop().create_future()
        self._waiters.append((request_id, waiter))
        self._start_request(workspace, version)
        return await waiter

    def give_back(self, request_id: str) -> None:
        """Take back the token of a request that reached no member."""
        self._lender.give_back(request_id, self._now())

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits and no request is under way."""
        return not self._waiters and self._request is None

    def _ahead_count(self, workspace: Workspace) -> int:
        expiry_s = self._terms.expiry_s(workspace)
        return self._lender.ahead_count(self._now(), expiry_s)

    def _request_ahead(self, workspace: Workspace, version: int) -> None:
        is_refused = self._now() < self._refused_until_s
        if not is_refused and self._ahead_count(workspace):
            self._start_request(workspace, version)

    def _start_request(self, workspace: Workspace, version: int) -> None:
        if self._request is None:
            self._request = asyncio.create_task(
                self._run_requests(workspace, version)
            )

    async def _run_requests(self, workspace: Workspace, version: int) -> None:
        try:
            await self._request_once(workspace, version)
            while self._waiters:
                await self._request_once(workspace, version)
        finally:
            self._request = None
            self._refuse(len(self._waiters), NoHome())

    async def _request_once(self, workspace: Workspace, version: int) -> None:
        self._drop_cancelled()
        sent_s = self._now()
        waiting_count = min(len(self._waiters), _MAX_REQUESTED_COUNT)
        count = min(
            waiting_count + self._ahead_count(workspace), _MAX_REQUESTED_COUNT
        )
        if not count:
            return
        answer = await self._finder.ask(
            TakeTokens(
                self._finder.own_host,
                workspace.name,
                count,
                waiting_count,
                version,
            )
        )
        if answer is None:
            self._refuse(waiting_count, NoHome())
            return
        expires_s = sent_s + self._terms.expiry_s(workspace)
        self._lender.add(answer.granted_count, expires_s)
        served_count = self._serve()
        if answer.granted_count < waiting_count:
            self._pause(answer)
            retry = OverQuota(answer.retry_after_ms)
            self._refuse(waiting_count - served_count, retry)

    def _serve(self) -> int:
        """Give the tokens at hand to waiters, and return to how many."""
        served_count = 0
        self._drop_cancelled()
        while self._waiters:
            request_id, waiter = self._waiters[0]
            if not self._lender.spend(request_id, self._now()):
                break
            self._waiters.popleft()
            waiter.set_result(None)
            served_count += 1
            self._drop_cancelled()
        return served_count

    def _refuse(self, count: int, refusal: QuotaRefusal) -> None:
        for _ in range(min(count, len(self._waiters))):
            _, waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(refusal)

    def _drop_cancelled(self) -> None:
        while self._waiters and self._waiters[0][1].done():
            self._waiters.popleft()

    def _pause(self, answer: TokensGranted) -> None:
        retry_s = answer.retry_after_ms / _MS_PER_S
        self._retry_at_s = self._now() + retry_s
        self._refused_until_s = self._now() + min(retry_s, _MAX_PAUSE_S)
