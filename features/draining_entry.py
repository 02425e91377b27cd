"""Fake entry host that sends writes during a handover of their group."""

import asyncio
import math
from collections.abc import Mapping
from typing import Any, Final, final

from features.terms_fakes import FakeDirectory, FakeNetwork, FakePeers
from features.terms_world import GROUP
from mimosapond import codec
from mimosapond.access_mode import AccessMode
from mimosapond.attempt_gate import AttemptGate
from mimosapond.clock import SystemClock
from mimosapond.completed import Completed
from mimosapond.decision_log import NullDecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.entry_services import EntryServices
from mimosapond.errors import refuse
from mimosapond.group_view import GroupView
from mimosapond.group_views import GroupViews
from mimosapond.host_client import HostClient
from mimosapond.leaving_targets import LeavingTargets
from mimosapond.metrics import NullMetrics
from mimosapond.outcome import Outcome
from mimosapond.refusal_reason import RefusalReason
from mimosapond.request_id import RequestId
from mimosapond.retry_budget import RetryBudget
from mimosapond.routed_request import RoutedRequest
from mimosapond.statement_request import StatementRequest
from mimosapond.workspace_spec import WorkspaceSpec
from mimosapond.write_router import WriteRouter

_HOST: Final = 'h1'
_DEADLINE_S: Final = 30
_HANDOVER_S: Final = 0.1


@final
class HandoverEntry:
    """Entry host and holder whose writes are refused until the handover ends.

    The holder refuses writes at term 1 and completes them at term 2.
    """

    def __init__(self, install_s: float) -> None:
        """Connect a write router to a holder at the same host.

        Parameters
        ----------
        install_s
            Time for which the holder of term 2 still refuses writes.
        """
        self._install_s = install_s
        self._handed_over_s = math.inf
        self._clock = SystemClock()
        self._views = GroupViews()
        host_client = HostClient(_HOST, FakePeers(_HOST, FakeNetwork()))
        host_client.serve({'run': self._answer})
        directory: Any = FakeDirectory()
        self._router = WriteRouter(
            EntryServices(
                hosts=directory,
                owners=directory,
                leaving=LeavingTargets(NullDecisionLog()),
                views=self._views,
                host_client=host_client,
                retry_budget=RetryBudget(),
                gate=AttemptGate(self._clock),
                clock=self._clock,
                decisions=NullDecisionLog(),
                metrics=NullMetrics(),
                degraded=DegradedPaths(NullMetrics()),
            ),
        )

    async def run(self, count: int) -> list[Outcome]:
        """Send ``count`` writes at once, then hand over; return the outcomes."""
        await self._views.merge(GroupView(GROUP.name, 1, 'm1', _HOST))
        writes = [
            asyncio.create_task(self._router.run(self._request()))
            for _ in range(count)
        ]
        await asyncio.sleep(_HANDOVER_S)
        self._handed_over_s = self._clock.monotonic_s()
        await self._views.merge(GroupView(GROUP.name, 2, 'm1', _HOST))
        return list(await asyncio.gather(*writes))

    async def _answer(self, _body: Mapping[str, Any]) -> Mapping[str, Any]:
        # All writes are sent before the first one is answered.
        await asyncio.sleep(0)
        view = self._views.get(GROUP.name)
        elapsed_s = self._clock.monotonic_s() - self._handed_over_s
        if view is None or view.term == 1 or elapsed_s < self._install_s:
            refused = refuse(RefusalReason.NOT_OWNER, member='m1')
            return codec.encode(refused)
        return codec.encode(Completed(results=(), token=None, member='m1'))

    def _request(self) -> RoutedRequest:
        request = StatementRequest(
            service='forge',
            workspace='shop',
            request_id=str(RequestId.create(self._clock.unix_ms())),
            mode=AccessMode.WRITE,
        )
        return RoutedRequest(
            request,
            GROUP,
            WorkspaceSpec('shop', GROUP.name, 1),
            self._clock.monotonic_s() + _DEADLINE_S,
        )
