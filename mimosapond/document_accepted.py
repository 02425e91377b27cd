"""Result of an edit that is in force."""

import dataclasses
from typing import Literal, final

from mimosapond.service_document import ServiceDocument


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentAccepted:
    """The platform holds the document at its new revision."""

    document: ServiceDocument
    outcome: Literal['accepted'] = 'accepted'
