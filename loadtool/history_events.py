"""Observations of a run that are no requests of callers."""

from typing import final

import attrs


@final
@attrs.frozen
class TermAdopted:
    """A majority of the group was seen at ``term`` before ``seen_s``.

    Primaries of lower terms had been replaced by then.
    """

    group: str
    term: int
    seen_s: float


@final
@attrs.frozen
class DocumentSeen:
    """A host reported a revision in force.

    ``process`` changes when the host is started again, since a new process
    begins without documents.
    """

    process: str
    service: str
    revision: int
    seen_s: float


@final
@attrs.frozen
class TargetLeft:
    """A target was marked as leaving, and no longer at ``end_s``."""

    member: str
    begin_s: float
    end_s: float


@final
@attrs.frozen
class HostStopped:
    """A host was asked to end; no other fault hit it."""

    host: str
    asked_s: float
    ended_s: float
