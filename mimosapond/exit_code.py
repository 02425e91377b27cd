"""Exit codes of the command-line tool."""

import enum
from typing import final


@final
class ExitCode(enum.IntEnum):
    """Exit codes that scripts test; docs/cli.md lists them.

    Attributes
    ----------
    DONE
        The command succeeded.
    REFUSED
        The host refused the command and changed nothing.
    BAD_USAGE
        The arguments or a file are invalid, or there is no usable secret;
        nothing was changed.
    UNREACHABLE
        No host answered; nothing was changed.
    UNKNOWN_OUTCOME
        The change may have been made.
    """

    DONE = 0
    REFUSED = 1
    BAD_USAGE = 2
    UNREACHABLE = 3
    UNKNOWN_OUTCOME = 4
