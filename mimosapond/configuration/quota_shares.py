"""The share of each workspace in the quotas of all workspaces."""

from typing import final

from mimosapond.configuration.active_configuration import ActiveConfiguration


@final
class QuotaShares:
    """Computes the shares once for each version of the configuration."""

    def __init__(self, configuration: ActiveConfiguration) -> None:
        """Follow the configuration in force."""
        self._configuration = configuration
        self._version = configuration.version
        self._ratios: dict[str, float] = {}

    def ratio(self, workspace: str) -> float:
        """Return a number from 0 to 1; 0 for an unknown workspace."""
        if self._version != self._configuration.version:
            self._version = self._configuration.version
            self._ratios = self._compute()
        return self._ratios.get(workspace, 0)

    def _compute(self) -> dict[str, float]:
        workspaces = self._configuration.workspaces
        rates = {one.name: one.rate_per_s for one in workspaces.values()}
        total_per_s = sum(rates.values())
        if total_per_s <= 0:
            return {}
        return {name: rate / total_per_s for name, rate in rates.items()}
