"""Result of an edit that may have been accepted."""

import dataclasses
from typing import Literal, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentUnsettled:
    """The edit was sent, and its fate could not be learned.

    Attributes
    ----------
    service, change_id
        The edit was accepted if a revision with this change id is seen.
    message, remedy
        What happened and what the operator can do, for people.
    """

    service: str
    change_id: str
    message: str
    remedy: str
    outcome: Literal['unsettled'] = 'unsettled'
