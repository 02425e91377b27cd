"""Runs one host on the platform, from its settings until it stops."""

import asyncio
import signal
import socket
import sys

from loguru import logger

from mimosapond.entry.host_settings import HostSettings
from mimosapond.log_setup import JsonLineSink, set_up_library_logging
from mimosapond.platform.composition import PlatformComposition


def run_service(settings: HostSettings, listener: socket.socket) -> None:
    """Serve until SIGTERM.

    Parameters
    ----------
    listener
        Listens for callers already.
    """
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
    asyncio.run(_serve(settings, listener))


async def _serve(settings: HostSettings, listener: socket.socket) -> None:
    host = PlatformComposition(settings).build_host(listener)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, host.request_stop)
    loop.add_signal_handler(signal.SIGHUP, host.note_reload)
    logger.bind(host=settings.host).info('host_started')
    await host.run()
