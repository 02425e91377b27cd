"""Paths on which the service does less than usual."""

import enum
from typing import final


@final
class DegradedPath(enum.StrEnum):
    """Each member has one gauge and one log event per outage."""

    PLATFORM_UNREACHABLE = 'platform_unreachable'
    READS_FORCED_TO_PRIMARY = 'reads_forced_to_primary'
    WRITES_REFUSED = 'writes_refused'
    RETRY_BUDGET_SPENT = 'retry_budget_spent'
    DOCUMENTS_UNCONFIRMED = 'documents_unconfirmed'
