"""Dependencies of the parts that acquire and hold terms."""

import random
from typing import final

import attrs

from mimosapond.clock import SystemClock
from mimosapond.composition_cluster import ClusterParts
from mimosapond.decision_log import DecisionLog
from mimosapond.degraded_paths import DegradedPaths
from mimosapond.group_views import GroupViews
from mimosapond.http_platform import HttpPlatform
from mimosapond.json_peers import JsonPeers
from mimosapond.metrics import Metrics
from mimosapond.options import Options
from mimosapond.websocket_target import WebsocketTarget


@final
@attrs.frozen
class TermDependencies:
    """Parts of the host that ``TermComposition`` builds on."""

    host_id: str
    options: Options
    target: WebsocketTarget
    platform: HttpPlatform
    peers: JsonPeers
    views: GroupViews
    cluster: ClusterParts
    clock: SystemClock
    decisions: DecisionLog
    metrics: Metrics
    degraded: DegradedPaths
    random_source: random.Random
