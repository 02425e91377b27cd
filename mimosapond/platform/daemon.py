"""Entry point of the daemon of a host that runs on the platform.

The daemon opens the callers' port before it imports the service, because the
import takes most of the start-up time. Callers can connect during that time
instead of being refused.
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
    """Serve until SIGTERM or SIGINT and return the exit code."""
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
