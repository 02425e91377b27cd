"""Answers no request about quotas; used in tests."""

from typing import final

from mimosapond.quotas.quota_messages import QuotaAnswer, QuotaRequest


@final
class NoQuotaService:
    """Stands in for a host without quotas."""

    async def answer(self, request: QuotaRequest) -> QuotaAnswer | None:
        """Return None."""
