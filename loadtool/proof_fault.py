"""Kinds of faults that a proof run meets."""

import enum
from typing import final

import attrs


@final
class FaultKind(enum.StrEnum):
    """Names that the report prints."""

    KILL_HOST = 'kill_host'
    STOP_HOST = 'stop_host'
    PAUSE_HOST = 'pause_host'
    PAUSE_HOLDER = 'pause_holder'
    PAUSE_PRIMARY = 'pause_primary'
    KILL_HOLDER = 'kill_holder'
    KILL_PRIMARY = 'kill_primary'
    CUT_PRIMARY = 'cut_primary'
    CUT_REPLICATION = 'cut_replication'
    CUT_ANSWERS = 'cut_answers'
    CUT_CENTRE = 'cut_centre'
    CUT_HOST = 'cut_host'
    RESET_LINKS = 'reset_links'
    SILENT_LINKS = 'silent_links'
    LAG = 'lag'
    PAUSE_SHIPPING = 'pause_shipping'
    PLATFORM_DOWN = 'platform_down'
    PLATFORM_SLOW = 'platform_slow'
    PLATFORM_LOSES = 'platform_loses'
    PROMOTE = 'promote'
    PROMOTE_RACE = 'promote_race'
    EDIT_RACE = 'edit_race'
    DRAIN_TARGET = 'drain_target'


@final
@attrs.frozen
class MetFault:
    """A fault that was applied.

    Attributes
    ----------
    has_taken
        Whether the fault was seen in force, not only asked for.
    """

    kind: FaultKind
    subject: str
    begin_s: float
    end_s: float
    has_taken: bool
    note: str = ''
