"""Model of a system under demand, and the bound that has to hold."""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import Final, final

import attrs

from features.holder_builders import build_peers
from features.quota_builders import (
    TERMS,
    WORKSPACE,
    QuotaNetwork,
    QuotaNode,
    build_configuration,
    start_node,
)
from features.virtual_loop import run_virtually
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.quotas.home_ranking import HomeRanking
from mimosapond.routing.work import Work

_HOST_COUNT: Final = 9
_CENTRE_COUNT: Final = 3
_STEP_S: Final = 0.01
_SETTLE_S: Final = 2.0
# Time of low demand in which the buckets become full.
_WARM_UP_S: Final = 4.0
_CALM_RATIO: Final = 0.4
# Time within which a lowered quota applies at all hosts.
_APPLY_S: Final = 0.5


@final
@attrs.frozen
class ModelEvent:
    """Something that happens to the system at a time.

    Parameters
    ----------
    kind
        ``cut``, ``freeze``, ``kill``, ``restart``, ``lists``, ``loss``
        or ``quota``.
    lasts_s
        Time until it is over, where that applies.
    number
        Selects a host, a data centre or a factor.
    """

    kind: str
    at_s: float
    lasts_s: float
    number: int


@final
@attrs.define
class QuotaRun:
    """What a run showed: times of operations, refusals and the quotas."""

    run_s: list[float]
    refused: list[str]
    request_count: int
    demand_count: int
    # Time from which on a rate and burst apply.
    quotas: list[tuple[float, float]]

    def used_ratio(self) -> float:
        """Return the largest part of the bound that any window used."""
        times = sorted(self.run_s)
        first = 0
        worst: float = 0
        for index, end_s in enumerate(times):
            while times[first] <= end_s - TERMS.window_s:
                first += 1
            bound = self._bound(end_s - TERMS.window_s, end_s)
            worst = max(worst, (index - first + 1) / bound)
        return worst

    def _bound(self, start_s: float, end_s: float) -> float:
        rates = [
            rate
            for (since_s, rate), until_s in zip(
                self.quotas,
                [*(since_s for since_s, _ in self.quotas[1:]), end_s + 1],
                strict=True,
            )
            if until_s + _APPLY_S > start_s and since_s <= end_s
        ]
        quota = max(rates) * (TERMS.window_s + 1)
        return quota * (1 + TERMS.overshoot_ratio) + TERMS.slack_count


@final
class QuotaModel:
    """Hosts in three data centres, with demand at each of them."""

    def __init__(
        self, seed: int, rate_per_s: float, demand_ratio: float
    ) -> None:
        """Build the hosts in the running loop; the burst is one second."""
        self._network = QuotaNetwork(seed)
        self._peers = build_peers(_HOST_COUNT, _CENTRE_COUNT)
        self._version = 0
        self._rate_per_s = rate_per_s
        self._configuration = build_configuration(0, rate_per_s, rate_per_s)
        self._demand_per_s = rate_per_s * demand_ratio
        self._calm_per_s = rate_per_s * min(demand_ratio, _CALM_RATIO)
        self._quotas = [(self._network.now(), rate_per_s)]
        self._operations: set[asyncio.Task[None]] = set()
        self._numbers = itertools.count()
        for peer in self._peers:
            self._start(peer)

    async def run(
        self, events: Sequence[ModelEvent], lasts_s: float
    ) -> QuotaRun:
        """Run the events under constant demand."""
        loop = asyncio.get_running_loop()
        for event in events:
            loop.call_later(event.at_s, self._begin, event)
        end_s = loop.time() + lasts_s
        owed: float = 0
        while loop.time() < end_s:
            is_warm = loop.time() > _WARM_UP_S
            demand_per_s = self._demand_per_s if is_warm else self._calm_per_s
            owed += demand_per_s * _STEP_S
            for _ in range(int(owed)):
                self._operate()
            owed -= int(owed)
            await asyncio.sleep(_STEP_S)
        await asyncio.sleep(_SETTLE_S)
        nodes = self._network.nodes.values()
        return QuotaRun(
            [at_s for node in nodes for at_s in node.run_s],
            [text for node in nodes for text in node.refused],
            self._network.request_count,
            next(self._numbers),
            self._quotas,
        )

    async def run_one(self, work: Work) -> QuotaRun:
        """Run one operation without other demand."""
        refusal = await self._node(0).parts.gate.take(work)
        refused = [] if refusal is None else [refusal.text]
        now_s = self._network.now()
        count = self._network.request_count
        return QuotaRun([now_s], refused, count, 1, self._quotas)

    def _operate(self) -> None:
        number = next(self._numbers)
        node = self._node(number)
        if node.own.host in self._network.down:
            return
        task = asyncio.create_task(node.operate(number))
        self._operations.add(task)
        task.add_done_callback(self._operations.discard)

    def _begin(self, event: ModelEvent) -> None:
        ends: Callable[[], None] = _nothing
        node = self._ranked_node(event.number)
        match event.kind:
            case 'cut':
                self._network.cut_centre = node.own.data_centre
                ends = self._heal
            case 'freeze':
                node.awake.clear()
                ends = node.awake.set
            case 'kill':
                self._network.down.add(node.own.host)
                ends = self._power_on(node)
            case 'restart':
                # Every third number: all hosts lose power at once.
                is_one = event.number % 3
                for peer in (node.own,) if is_one else self._peers:
                    self._start(peer)
            case 'lists':
                ends = self._announce(node)
            case 'loss':
                self._network.loss_ratio = 0.1
                ends = self._heal
            case _:
                self._change_quota((0.1, 0.5, 2)[event.number % 3])
        asyncio.get_running_loop().call_later(event.lasts_s, ends)

    def _heal(self) -> None:
        self._network.cut_centre = ''
        self._network.loss_ratio = 0

    def _power_on(self, node: QuotaNode) -> Callable[[], None]:
        def start() -> None:  # noqa: WPS430 -- runs later
            self._network.down.discard(node.own.host)
            self._start(node.own)

        return start

    def _announce(self, node: QuotaNode) -> Callable[[], None]:
        """Let every second host miss one announcement for some time."""
        known = [peer for peer in self._peers if peer != node.own]
        others = list(self._network.nodes.values())[::2]
        for other in others:
            other.directory.update(known)

        def announce() -> None:  # noqa: WPS430 -- runs later
            for each in self._network.nodes.values():
                each.directory.update(self._peers)

        return announce

    def _change_quota(self, factor: float) -> None:
        self._version += 1
        rate_per_s = self._rate_per_s * factor
        self._configuration = build_configuration(
            self._version, rate_per_s, rate_per_s
        )
        self._quotas.append((self._network.now(), rate_per_s))
        loop = asyncio.get_running_loop()
        for number, node in enumerate(self._network.nodes.values()):
            loop.call_later(
                _APPLY_S * number / _HOST_COUNT,
                node.configuration.activate,
                self._configuration,
            )

    def _start(self, peer: Peer) -> None:
        start_node(peer, self._peers, self._network, self._configuration)

    def _ranked_node(self, number: int) -> QuotaNode:
        """Return one of the first hosts of the ranking, mostly the home."""
        directory = PeerDirectory(self._peers[0], self._network.now)
        directory.update(self._peers)
        ranked = HomeRanking(directory, self._peers[0]).rank(WORKSPACE)
        return self._network.nodes[ranked[number // 4].host]

    def _node(self, number: int) -> QuotaNode:
        name = self._peers[number % _HOST_COUNT].host
        return self._network.nodes[name]


def run_model(
    seed: int,
    rate_per_s: float,
    demand_ratio: float,
    events: Sequence[ModelEvent],
    lasts_s: float,
) -> QuotaRun:
    """Run a model in virtual time."""

    async def run() -> QuotaRun:  # noqa: WPS430 -- needs the loop
        model = QuotaModel(seed, rate_per_s, demand_ratio)
        return await model.run(events, lasts_s)

    return run_virtually(run())


def _nothing() -> None:
    """Do nothing."""
