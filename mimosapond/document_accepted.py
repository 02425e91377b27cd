"""Result of an accepted edit of a service document."""

import dataclasses
from typing import Literal, final

from mimosapond.service_document import ServiceDocument


@final
@dataclasses.dataclass(frozen=True, slots=True)
class DocumentAccepted:
    """The platform has stored the document.

    Attributes
    ----------
    document
        The document with the revision and change id that were stored.
    """

    document: ServiceDocument
    outcome: Literal['accepted'] = 'accepted'
