"""What is recorded of the lead of a group, as a claim returns it."""

import enum
from typing import TypeAlias, final

import attrs

from mimosapond.groups.lead import Lead


@final
@attrs.frozen
class NoLead:
    """No change of primary was ever recorded for the group."""


@final
@attrs.frozen
class LeadUnknown:
    """The record of changes of primary could not be read."""


LeadRecord: TypeAlias = Lead | NoLead | LeadUnknown


@final
class LeadRecording(enum.Enum):
    """Result of recording a lead."""

    recorded = 'recorded'
    # Another host holds the claim by now.
    superseded = 'superseded'
    # There was no answer, so the lead may be recorded or not.
    unknown = 'unknown'
