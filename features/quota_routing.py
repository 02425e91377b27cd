"""Builders of services whose operations take tokens of a counted quota."""

from typing import Final, final

import attrs

from features.group_builders import LEAVING_LIMIT_S, GroupWorld
from mimosapond.boot_clock import boot_time_s
from mimosapond.routing import failures
from mimosapond.routing.primary_path import PrimaryPathFinder
from mimosapond.routing.read_router import ReadRouter
from mimosapond.routing.relay_port import NoRelays
from mimosapond.routing.work import Work
from mimosapond.routing.write_router import WriteRouter
from mimosapond.statements.reply import Failure

_RETRY_AFTER_MS: Final = 50


@final
@attrs.define
class CountedQuota:
    """A quota of some tokens, which are not refilled."""

    left_count: int
    taken_count: int = 0

    async def take(self, work: Work, count: int = 1) -> Failure | None:
        """Take tokens, or refuse."""
        if self.left_count < count:
            return failures.over_quota(_RETRY_AFTER_MS)
        self.left_count -= count
        self.taken_count += count
        return None

    def give_back(self, work: Work) -> None:
        """Take a token back."""
        self.left_count += 1
        self.taken_count -= 1


def limit_operations(world: GroupWorld, quota: CountedQuota) -> GroupWorld:
    """Return a world whose operations take tokens of a quota."""
    services = world.services
    paths = PrimaryPathFinder(NoRelays(), boot_time_s, LEAVING_LIMIT_S)
    routing = attrs.evolve(
        services.routing,
        writes=WriteRouter(
            paths, services.routing.witnesses, boot_time_s, quota
        ),
    )
    reads = ReadRouter(
        routing.positions,
        routing.member_selector,
        NoRelays(),
        boot_time_s,
        quotas=quota,
    )
    return attrs.evolve(
        world, services=attrs.evolve(services, reads=reads, routing=routing)
    )
