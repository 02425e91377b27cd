"""Entry point of the daemon of one host on the platform.

It opens the callers' port first, and only then loads the service, which takes
most of the time of a start.
"""

import importlib
import os
import pathlib
import sys
from typing import Final

from mimosapond.entry.caller_listener import open_caller_listener
from mimosapond.entry.host_settings import load_host_settings
from mimosapond.file_problem import InvalidFile

_SETTINGS_VARIABLE: Final = 'MIMOSAPOND_NODE_FILE'
_SETTINGS_PATH: Final = '/etc/mimosapond/settings.conf'
_SERVICE_MODULE: Final = 'mimosapond.platform.service'
_EXIT_BAD_SETTINGS: Final = 2


def main() -> int:
    """Serve until SIGTERM; return the exit code."""
    path = os.environ.get(_SETTINGS_VARIABLE, _SETTINGS_PATH)
    settings = load_host_settings(pathlib.Path(path))
    if isinstance(settings, InvalidFile):
        for problem in settings.problems:
            sys.stderr.write(f'{path}: {problem}\n')
        return _EXIT_BAD_SETTINGS
    listener = open_caller_listener(settings.caller_address)
    importlib.import_module(_SERVICE_MODULE).run_service(settings, listener)
    return 0


if __name__ == '__main__':
    sys.exit(main())
