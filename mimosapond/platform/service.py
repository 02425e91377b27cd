"""Runs a host on the platform until it is stopped."""

import asyncio
import signal
import socket
import sys
from typing import Final

from loguru import logger

from mimosapond.boot_clock import boot_time_s
from mimosapond.entry.host_settings import HostSettings
from mimosapond.log_setup import JsonLineSink, set_up_library_logging
from mimosapond.log_rate_limit import LogRateLimit
from mimosapond.platform.composition import PlatformComposition

# Above this rate, log lines about ordinary work are left out and counted.
_MAX_ORDINARY_LINES_PER_S: Final = 200


def run_service(settings: HostSettings, listener: socket.socket) -> None:
    """Serve until SIGTERM or SIGINT.

    Parameters
    ----------
    listener
        Socket that already listens for callers.
    """
    log_rate_limit = LogRateLimit(_MAX_ORDINARY_LINES_PER_S, boot_time_s)
    logger.remove()
    logger.add(
        JsonLineSink(sys.stdout, ()),
        level=settings.log_level,
        filter=log_rate_limit,
        format='',
        backtrace=False,
        diagnose=False,
    )
    # Below this level, the libraries log a line for each HTTP request.
    set_up_library_logging('ERROR')
    asyncio.run(_serve(settings, listener, log_rate_limit))


async def _serve(
    settings: HostSettings,
    listener: socket.socket,
    log_rate_limit: LogRateLimit,
) -> None:
    composition = PlatformComposition(settings, log_rate_limit)
    host = composition.build_host(listener)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, host.request_stop)
    loop.add_signal_handler(signal.SIGHUP, host.log_reload)
    logger.bind(host=settings.host).info('host_started')
    await host.run()
