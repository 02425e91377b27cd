"""Components that the routers of an entry host share."""

from typing import final

import attrs

from mimosapond.attempt_gate import AttemptGate
from mimosapond.clock import Clock
from mimosapond.cluster_map import Hosts, LeavingLookup, Owners
from mimosapond.decision_log import DecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.group_views import GroupViews
from mimosapond.host_client import HostClient
from mimosapond.metrics import Metrics
from mimosapond.retry_budget import RetryBudget


@final
@attrs.frozen
class EntryServices:
    """Shared components; the composition root builds them once."""

    hosts: Hosts
    owners: Owners
    leaving: LeavingLookup
    views: GroupViews
    host_client: HostClient
    retry_budget: RetryBudget
    gate: AttemptGate
    clock: Clock
    decisions: DecisionLog
    metrics: Metrics
    degraded: DegradedPaths
