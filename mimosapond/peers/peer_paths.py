"""Paths of the requests between hosts."""

from typing import Final

PRIMARY: Final = '/v1/primary'
READS: Final = '/v1/reads'
WRITES: Final = '/v1/writes'
TRANSACTIONS: Final = '/v1/transactions'
COMMITS: Final = '/v1/commits'
ROLLBACKS: Final = '/v1/rollbacks'
STATE: Final = '/v1/state'
CONFIGURATION: Final = '/v1/configuration'
QUOTA: Final = '/v1/quota'
