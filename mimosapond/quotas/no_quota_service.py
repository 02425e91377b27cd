"""A host that is the home of no workspace."""

from typing import final

from mimosapond.quotas.quota_messages import QuotaAnswer, QuotaRequest


@final
class NoQuotaService:
    """Answers nothing; used in tests and without workspaces."""

    async def answer(self, request: QuotaRequest) -> QuotaAnswer | None:
        """Return None."""
