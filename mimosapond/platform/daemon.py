"""Entry point of the daemon of one host on the platform."""

import asyncio
import os
import pathlib
import signal
import sys
from typing import Final

from loguru import logger

from mimosapond.entry.host_settings import HostSettings, load_host_settings
from mimosapond.file_problem import InvalidFile
from mimosapond.log_setup import JsonLineSink, set_up_library_logging
from mimosapond.platform.composition import PlatformComposition

_SETTINGS_VARIABLE: Final = 'MIMOSAPOND_NODE_FILE'
_SETTINGS_PATH: Final = '/etc/mimosapond/settings.conf'
_BAD_SETTINGS: Final = 2


async def _serve(settings: HostSettings) -> None:
    host = PlatformComposition(settings).build_host()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.request_stop)
    loop.add_signal_handler(signal.SIGHUP, host.note_reload)
    logger.bind(host=settings.host).info('host_started')
    await host.run()


def main() -> int:
    """Serve until SIGTERM; return the exit code."""
    path = os.environ.get(_SETTINGS_VARIABLE, _SETTINGS_PATH)
    settings = load_host_settings(pathlib.Path(path))
    if isinstance(settings, InvalidFile):
        for problem in settings.problems:
            sys.stderr.write(f'{path}: {problem}\n')
        return _BAD_SETTINGS
    logger.remove()
    logger.add(
        JsonLineSink(sys.stdout, ()),
        level=settings.log_level,
        format='',
        backtrace=False,
        diagnose=False,
    )
    # Library lines below this level are one for each HTTP request.
    set_up_library_logging('ERROR')
    asyncio.run(_serve(settings))
    return 0


if __name__ == '__main__':
    sys.exit(main())
