"""Exit codes of the command-line tool."""

import enum
from typing import final


@final
class ExitCode(enum.IntEnum):
    """Scripts test these; docs/cli.md lists them."""

    DONE = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNREACHABLE = 3
    UNKNOWN_OUTCOME = 4
