"""Observations of members, hosts and operators during a run."""

from typing import final

import attrs


@final
@attrs.frozen
class TermAdopted:
    """A majority of the members of ``group`` had adopted ``term``.

    The primaries of all lower terms had been replaced at ``seen_s``, a
    monotonic time of the load process.
    """

    group: str
    term: int
    seen_s: float


@final
@attrs.frozen
class DocumentSeen:
    """A host reported the revision of a service's document in force.

    ``process`` names the host and its process id, because a restarted host
    begins without documents.
    """

    process: str
    service: str
    revision: int
    seen_s: float


@final
@attrs.frozen
class TargetLeft:
    """A target was marked as leaving from ``begin_s`` until ``end_s``."""

    member: str
    begin_s: float
    end_s: float


@final
@attrs.frozen
class HostStopped:
    """A host was shut down gracefully while no other fault was active."""

    host: str
    asked_s: float
    ended_s: float
