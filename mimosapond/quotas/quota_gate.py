"""Takes the tokens of work that runs at this host."""

import random
from collections.abc import Callable
from typing import Final, final

import attrs
from loguru import logger

from mimosapond.boot_clock import Now
from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.workspace import Workspace
from mimosapond.metrics import Metrics
from mimosapond.quotas.quota_client import (
    NoHome,
    OverQuota,
    QuotaClient,
    QuotaRefusal,
)
from mimosapond.routing import failures
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure

# Refusals of a workspace are logged at most once in this time.
_LOG_INTERVAL_S: Final = 5.0
# Clients that were not used for this long are removed.
_CLIENT_RETENTION_S: Final = 60.0
_MIN_RETRY_MS: Final = 20.0
# Callers that were refused together come back spread over this multiple of the
# time until the next token.
_MIN_JITTER_RATIO: Final = 1.0
_MAX_JITTER_RATIO: Final = 3.0


@final
@attrs.define
class _RefusalLog:
    logged_s: float
    count: int = 0


@final
class QuotaGate:
    """Implements ``Quota`` by the workspaces of the configuration in force."""

    def __init__(
        self,
        configuration: ActiveConfiguration,
        build_client: Callable[[], QuotaClient],
        metrics: Metrics,
        now: Now,
    ) -> None:
        """Create a gate without clients.

        Parameters
        ----------
        build_client
            Builds the client of a workspace.
        """
        self._configuration = configuration
        self._build_client = build_client
        self._metrics = metrics
        self._now = now
        self._clients: dict[str, QuotaClient] = {}
        self._refusals: dict[str, _RefusalLog] = {}

    async def take(self, work: Work, count: int = 1) -> Failure | None:
        """Take tokens for work; a failure if there are none."""
        workspace = self._find_workspace(work)
        if workspace is None:
            return None
        client = self._client(workspace.name)
        for _ in range(count):
            refusal = await client.take(
                workspace, self._configuration.version, work.request_id
            )
            if refusal is not None:
                return self._refuse(work, refusal)
            self._metrics.count('quota.granted')
        return None

    def give_back(self, work: Work) -> None:
        """Give back the token of work that reached no member."""
        client = self._clients.get(work.workspace)
        if client is not None:
            client.give_back(work.request_id)

    def _find_workspace(self, work: Work) -> Workspace | None:
        if not work.workspace:
            return None
        return self._configuration.workspace(work.workspace)

    def _client(self, name: str) -> QuotaClient:
        client = self._clients.get(name)
        if client is None:
            self._remove_unused()
            client = self._build_client()
            self._clients[name] = client
        return client

    def _remove_unused(self) -> None:
        earliest_s = self._now() - _CLIENT_RETENTION_S
        for name, client in list(self._clients.items()):
            if client.is_idle and client.used_s < earliest_s:
                self._clients.pop(name)
                self._refusals.pop(name, None)

    def _refuse(self, work: Work, refusal: QuotaRefusal) -> Failure:
        match refusal:
            case OverQuota(retry_after_ms=retry_after_ms):
                self._metrics.count('quota.refused')
                self._log(work.workspace, 'the quota is used up')
                ratio = random.uniform(_MIN_JITTER_RATIO, _MAX_JITTER_RATIO)
                return failures.over_quota(
                    max(retry_after_ms, _MIN_RETRY_MS) * ratio
                )
            case NoHome():
                self._metrics.count('quota.unanswered')
                self._log(work.workspace, 'no host answered for the quota')
                return failures.NO_QUOTA_HOME

    def _log(self, name: str, reason: str) -> None:
        now_s = self._now()
        entry = self._refusals.get(name)
        if entry is None:
            entry = _RefusalLog(now_s - _LOG_INTERVAL_S)
            self._refusals[name] = entry
        entry.count += 1
        if now_s - entry.logged_s >= _LOG_INTERVAL_S:
            logger.bind(
                workspace=name, reason=reason, count=entry.count
            ).warning('quota_refused')
            entry.logged_s = now_s
            entry.count = 0
