"""Builders of systems whose hosts share quotas over a network model."""

import asyncio
import random
from collections.abc import Iterable
from typing import Any, Final, cast, final

import attrs

from mimosapond.configuration.active_configuration import ActiveConfiguration
from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.workspace import Workspace
from mimosapond.groups.group import Group
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_directory import PeerDirectory
from mimosapond.platform.quota_composition import QuotaParts, build_quota_parts
from mimosapond.quotas.quota_codec import (
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)
from mimosapond.quotas.quota_messages import QuotaAnswer, QuotaRequest
from mimosapond.quotas.quota_terms import QuotaTerms
from mimosapond.routing.work import Work
from mimosapond.statements.reply import Failure

WORKSPACE: Final = 'lake'
TERMS: Final = QuotaTerms()
_TRAVEL_S: Final = 0.0005
_ROUND_S: Final = 0.05
_IDLE_TIMEOUT_MS: Final = 3000


def build_configuration(
    version: int, rate_per_s: float, burst_count: float
) -> Configuration:
    """Build a configuration with one workspace."""
    workspace = Workspace(WORKSPACE, frozenset(), 1, rate_per_s, burst_count)
    return Configuration(
        version, {}, {}, _IDLE_TIMEOUT_MS, {WORKSPACE: workspace}
    )


def build_work(number: int, workspace: str = WORKSPACE) -> Work:
    """Build work of a workspace, for a gate only."""
    group = cast(Group, None)
    unused: Any = None
    return Work(
        f'request-{number}', unused, {}, unused, group, 0, 0, None, workspace
    )


@final
@attrs.define(eq=False)
class QuotaNode:
    """One host of the model; its parts are lost when it restarts."""

    own: Peer
    network: 'QuotaNetwork'
    directory: PeerDirectory
    configuration: ActiveConfiguration
    parts: QuotaParts
    awake: asyncio.Event
    rounds: asyncio.Task[None] | None = None
    # Times at which operations reached a member, and refusals.
    run_s: list[float] = attrs.Factory(list)
    refused: list[str] = attrs.Factory(list)

    async def operate(self, number: int) -> None:
        """Run one operation if its workspace has a token."""
        await self.awake.wait()
        refusal = await self.parts.gate.take(build_work(number))
        await self.awake.wait()
        if isinstance(refusal, Failure):
            self.refused.append(refusal.text)
        else:
            self.run_s.append(self.network.now())

    async def run(self) -> None:
        """Do the regular work, except while the host is frozen."""
        while True:
            await asyncio.sleep(_ROUND_S)
            await self.awake.wait()
            self.parts.service.run_round()


@final
class QuotaNetwork:
    """Carries requests between nodes; some are lost or cut off."""

    def __init__(self, seed: int) -> None:
        """Start without nodes, in the running loop."""
        self._random = random.Random(seed)
        self.now = asyncio.get_running_loop().time
        self.nodes: dict[str, QuotaNode] = {}
        self.down: set[str] = set()
        self.cut_centre = ''
        self.loss_ratio: float = 0
        self.request_count = 0

    async def ask_from(
        self, own: Peer, peer: Peer, request: QuotaRequest, limit_s: float
    ) -> QuotaAnswer | None:
        """Carry a request and its answer, in their wire form."""
        self.request_count += 1
        try:
            async with asyncio.timeout(limit_s):
                return await self._carry(own, peer, request)
        except TimeoutError:
            return None

    async def _carry(
        self, own: Peer, peer: Peer, request: QuotaRequest
    ) -> QuotaAnswer | None:
        await self._travel(own, peer)
        node = self.nodes[peer.host]
        await node.awake.wait()
        received = decode_request(encode_request(request))
        answer = await node.parts.service.answer(received)
        await node.awake.wait()
        await self._travel(peer, own)
        return decode_answer(encode_answer(answer))

    async def _travel(self, sender: Peer, receiver: Peer) -> None:
        is_cut = sender.data_centre != receiver.data_centre and (
            self.cut_centre in {sender.data_centre, receiver.data_centre}
        )
        is_cut |= bool(self.down & {sender.host, receiver.host})
        if is_cut or self._random.random() < self.loss_ratio:
            await asyncio.Event().wait()
        await asyncio.sleep(_TRAVEL_S * self._random.uniform(1, 2))


@final
class _ModelPeers:
    def __init__(self, own: Peer, network: QuotaNetwork) -> None:
        self._own = own
        self._network = network

    async def ask(
        self, peer: Peer, request: QuotaRequest, limit_s: float
    ) -> QuotaAnswer | None:
        return await self._network.ask_from(self._own, peer, request, limit_s)


def start_node(
    own: Peer,
    announced: Iterable[Peer],
    network: QuotaNetwork,
    configuration: Configuration,
) -> QuotaNode:
    """Start a host, or start it again without what it knew."""
    former = network.nodes.get(own.host)
    if former is not None and former.rounds is not None:
        former.rounds.cancel()
    directory = PeerDirectory(own, network.now)
    directory.update(announced)
    active = ActiveConfiguration()
    active.activate(configuration)
    parts = build_quota_parts(
        TERMS,
        active,
        directory,
        own,
        _ModelPeers(own, network),
        network.now,
    )
    awake = asyncio.Event()
    awake.set()
    node = QuotaNode(own, network, directory, active, parts, awake)
    if former is not None:
        node.run_s = former.run_s
        node.refused = former.refused
    node.rounds = asyncio.create_task(node.run())
    network.nodes[own.host] = node
    return node
