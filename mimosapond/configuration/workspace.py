"""A workspace: its keys, its priority and its quota."""

from typing import final

import attrs


@final
@attrs.frozen
class Workspace:
    """Owner of data in a group, as the operators configured it.

    Parameters
    ----------
    key_digests
        Digests of the keys that identify callers of the workspace.
    priority
        0 is the most urgent.
    rate_per_s
        Operations that the workspace may run in a second, over all hosts.
    burst_count
        Operations that it may run at once after it was idle.
    """

    name: str
    key_digests: frozenset[str]
    priority: int
    rate_per_s: float
    burst_count: float
