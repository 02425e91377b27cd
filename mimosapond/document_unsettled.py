"""Result of an edit that may have been accepted."""

import dataclasses
from typing import Literal, final


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentUnsettled:
    """The edit was sent, but whether it took effect is unknown.

    Attributes
    ----------
    service, change_id
        The edit was accepted if a revision of the service has this id.
    message, remedy
        What happened and what the operator can do, in plain English.
    """

    service: str
    change_id: str
    message: str
    remedy: str
    outcome: Literal['unsettled'] = 'unsettled'
