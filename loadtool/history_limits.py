"""Time limits in the invariants, shared by runs and the history checker."""

from typing import Final

# Time after which a leaving target serves no more reads.
DRAIN_REACTION_LIMIT_S: Final = 3
# Time within which an accepted document is in force at all hosts.
DOCUMENT_PROPAGATION_LIMIT_S: Final = 5
