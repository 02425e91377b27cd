"""Entry point of ``mimosapondd``, the daemon of one host."""

import asyncio
import pathlib
import signal
import sys
from typing import Final

import fire
from loguru import logger

from mimosapond.composition import Composition
from mimosapond.exit_code import ExitCode
from mimosapond.file_problem import InvalidFile
from mimosapond.listeners import ListenError
from mimosapond.log_setup import set_up_library_logging, set_up_logging
from mimosapond.options import Options
from mimosapond.settings_loader import load_settings

_LISTEN_REMEDY: Final = (
    'remedy: End the process that uses the address, or change the settings.'
)


async def _serve(options: Options) -> None:
    host = Composition(options).build_host()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, host.request_leave)
    logger.info('host_started')
    await host.run()


def run(settings: str) -> None:
    """Run a host until SIGTERM or SIGINT, then shut down gracefully.

    The exit code is not 0 if the settings are invalid or a listener can't be
    opened.

    Parameters
    ----------
    settings
        Path of the YAML file with the settings, see docs/settings.md.
    """
    options = load_settings(pathlib.Path(settings))
    if isinstance(options, InvalidFile):
        for problem in options.problems:
            sys.stderr.write(f'{settings}: {problem}\n')
        sys.exit(int(ExitCode.BAD_USAGE))
    set_up_logging(options)
    set_up_library_logging(options.log_level)
    try:
        asyncio.run(_serve(options))
    except ListenError as error:
        sys.stderr.write(f'error: {error}\n{_LISTEN_REMEDY}\n')
        sys.exit(int(ExitCode.REFUSED))


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name='mimosapondd')


if __name__ == '__main__':
    main()
