"""Shares of a host's memory and descriptors, computed from its settings."""

from typing import Final, Self, final

import attrs

from mimosapond.boot_clock import Now, boot_time_s
from mimosapond.entry.byte_budget import ByteBudget
from mimosapond.entry.byte_shares import ByteShares
from mimosapond.entry.connection_bound import ConnectionBound
from mimosapond.entry.host_settings import HostSettings
from mimosapond.entry.memory_lanes import MemoryLanes
from mimosapond.entry.refusal_log import RefusalLog

_MS_PER_S: Final = 1000
_BYTES_PER_MB: Final = 1000 * 1000
# Ratios of the memory. The program itself and its idle connections take the
# rest; what is forwarded exists at both ends of a link between hosts.
_REQUEST_RATIO: Final = 0.1
_ANSWER_RATIO: Final = 0.08
_FRAME_RATIO: Final = 0.05
_MEDIUM_RATIO: Final = 0.02
_WIDE_RATIO: Final = 0.04
_DEFINITION_RATIO: Final = 0.08
_CONNECTION_RATIO: Final = 0.25
# Streams, task and session of an idle connection.
_CONNECTION_BYTES: Final = 20_000
# Descriptors of the program that are no connections.
_FILE_COUNT: Final = 200
# The rest is for members, other hosts, the store and the load balancer.
_CALLER_DESCRIPTOR_RATIO: Final = 0.75
# A request that waits for the memory of its answer holds a connection to a
# member, which others need.
_ANSWER_WAIT_S: Final = 0.5
# Another host has other candidates for its work, and its further requests wait
# behind a message that waits for memory.
_FRAME_WAIT_S: Final = 0.1


@final
@attrs.frozen
class TimeLimits:
    """How long a host waits for a caller.

    Parameters
    ----------
    start_s
        From the connection until the whole START has come.
    message_s
        From the first part of a message until its end has come.
    answer_s
        Until a caller has taken an answer.
    """

    start_s: float
    message_s: float
    answer_s: float


@final
@attrs.frozen
class HostResources:
    """What the connections of a host share.

    Parameters
    ----------
    requests, answers, frames
        Memory for the messages of callers, for the answers of members and
        other hosts, and for the work that other hosts pass on.
    definitions
        Memory for the values and prepared statements of sessions.
    """

    requests: MemoryLanes
    answers: MemoryLanes
    frames: MemoryLanes
    definitions: ByteBudget
    connections: ConnectionBound
    times: TimeLimits
    refusals: RefusalLog

    @classmethod
    def plan(cls, settings: HostSettings, now: Now) -> Self:
        """Divide the memory and the descriptors that the settings name."""
        memory_bytes = settings.memory_mb * _BYTES_PER_MB
        wait_s = settings.memory_wait_ms / _MS_PER_S
        requests, answers, frames = (
            _build_lanes(memory_bytes, ratio, limit_s)
            for ratio, limit_s in (
                (_REQUEST_RATIO, wait_s),
                (_ANSWER_RATIO, _ANSWER_WAIT_S),
                (_FRAME_RATIO, _FRAME_WAIT_S),
            )
        )
        return cls(
            requests,
            answers,
            frames,
            ByteBudget(memory_bytes * _DEFINITION_RATIO),
            ConnectionBound(_count_connections(settings, memory_bytes)),
            TimeLimits(
                settings.start_timeout_ms / _MS_PER_S,
                settings.message_timeout_ms / _MS_PER_S,
                settings.answer_timeout_ms / _MS_PER_S,
            ),
            RefusalLog(
                now,
                lambda: (
                    requests.held_bytes + answers.held_bytes + frames.held_bytes
                ),
            ),
        )


def default_resources() -> HostResources:
    """Return the resources of a host whose settings name none."""
    return HostResources.plan(HostSettings(*('',) * 7), boot_time_s)


def _count_connections(settings: HostSettings, memory_bytes: float) -> int:
    descriptor_count = max(settings.max_fds - _FILE_COUNT, 1)
    by_memory = memory_bytes * _CONNECTION_RATIO / _CONNECTION_BYTES
    return max(
        int(min(descriptor_count * _CALLER_DESCRIPTOR_RATIO, by_memory)), 1
    )


def _build_lanes(
    memory_bytes: float, large_ratio: float, wait_s: float
) -> MemoryLanes:
    medium, large, wide = (
        ByteShares(ByteBudget(memory_bytes * ratio), wait_s)
        for ratio in (_MEDIUM_RATIO, large_ratio, _WIDE_RATIO)
    )
    return MemoryLanes(medium, large, wide)
