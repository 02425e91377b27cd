"""Degraded modes of operation."""

import enum
from typing import final


@final
class DegradedPath(enum.StrEnum):
    """A function of the host that continues with reduced service.

    Each value has a gauge, and one log event per outage.

    Attributes
    ----------
    PLATFORM_UNREACHABLE
        The platform does not answer; the last known lists stay in use.
    READS_FORCED_TO_PRIMARY
        The primary served a read that accepts stale data, because no replica
        was within its bounds.
    WRITES_REFUSED
        A group has no reachable primary or holder.
    RETRY_BUDGET_SPENT
        A request was not retried, because the retry budget was used up.
    DOCUMENTS_UNCONFIRMED
        Neither the platform nor a peer has confirmed the service documents.
    """

    PLATFORM_UNREACHABLE = 'platform_unreachable'
    READS_FORCED_TO_PRIMARY = 'reads_forced_to_primary'
    WRITES_REFUSED = 'writes_refused'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    DOCUMENTS_UNCONFIRMED = 'documents_unconfirmed'
