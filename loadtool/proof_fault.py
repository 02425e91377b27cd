"""Faults that a proof run injects."""

import enum
from typing import final

import attrs


@final
class FaultKind(enum.StrEnum):
    """Kinds of faults, under the names that flags and reports use."""

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
class InjectedFault:
    """A fault that was injected.

    Attributes
    ----------
    subject
        Process, data centre or outcome that the report prints.
    begin_s, end_s
        Monotonic times at which the fault was injected and removed.
    has_taken
        Whether the fault was observed to be in effect, beyond the request to
        inject it.
    """

    kind: FaultKind
    subject: str
    begin_s: float
    end_s: float
    has_taken: bool
    note: str = ''
