"""Entry point of a database group.

``python -m standins.database_group.daemon SETTINGS.json``
"""

import asyncio
import json
import pathlib
import signal
import sys

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.web import Application

from mimosapond.codec import decode
from standins.database_group.control_handlers import (
    FaultHandler,
    PromoteHandler,
    ReceiptsHandler,
    ReportHandler,
)
from standins.database_group.database_group import DatabaseGroup
from standins.database_group.group_settings import GroupSettings


def build_control_server(group: DatabaseGroup) -> HTTPServer:
    """Return the HTTP server of the control calls, not yet listening."""
    shared = {'group': group}
    return HTTPServer(
        Application(
            [
                ('/promote', PromoteHandler, shared),
                ('/fault', FaultHandler, shared),
                ('/report', ReportHandler, shared),
                ('/receipts', ReceiptsHandler, shared),
            ]
        )
    )


async def _serve(settings: GroupSettings) -> None:
    group = DatabaseGroup(settings)
    await group.start()
    build_control_server(group).listen(settings.control_port, '127.0.0.1')
    logger.info('group {} is ready', settings.group)
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    await ended.wait()
    group.stop()


def main(path: str) -> None:
    """Run the group with the settings of a JSON file until SIGTERM."""
    text = pathlib.Path(path).read_text(encoding='utf-8')
    asyncio.run(_serve(decode(GroupSettings, json.loads(text))))


if __name__ == '__main__':
    main(sys.argv[1])
