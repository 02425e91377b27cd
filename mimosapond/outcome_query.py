"""A query for the outcome of an earlier request."""

from typing import final

import attrs


@final
@attrs.frozen
class OutcomeQuery:
    """Body of ``POST /v1/outcomes``."""

    service: str
    workspace: str
    request_id: str
    deadline_ms: int = 5000
