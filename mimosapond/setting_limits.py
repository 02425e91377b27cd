"""Allowed values and bounds of settings, shared by both daemons."""

from typing import Final

LOG_LEVELS: Final = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
DAY_MS: Final = 86_400_000
HOUR_S: Final = 3600
MAX_PROCESSOR_RATIO: Final = 1000
