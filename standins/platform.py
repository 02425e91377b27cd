"""Entry point of the stand-in for the services of the platform.

``python -m standins.platform --address=127.0.0.1:7100``
"""

import asyncio
import sys

import fire
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.web import Application

from standins import platform_handlers as handlers
from standins.platform_state import PlatformState


def build_server(state: PlatformState) -> HTTPServer:
    """Return the HTTP server of the platform, not yet listening."""
    shared = {'state': state}
    return HTTPServer(
        Application(
            [
                ('/table', handlers.TableHandler, shared),
                ('/table/(.+)', handlers.RowHandler, shared),
                ('/objects/(.+)', handlers.ObjectHandler, shared),
                ('/hosts', handlers.HostListHandler, shared),
                ('/hosts/(.+)', handlers.HostHandler, shared),
                ('/admin/faults', handlers.FaultsHandler, shared),
                ('/admin/counters', handlers.CountersHandler, shared),
            ]
        ),
    )


async def _serve(address: str) -> None:
    host, port = address.rsplit(':', 1)
    build_server(PlatformState()).listen(int(port), host)
    logger.info('platform listens on {}', address)
    await asyncio.Event().wait()


def run(address: str) -> None:
    """Run the platform on ``address`` (``ip:port``) until killed."""
    logger.remove()
    logger.add(sys.stderr, level='INFO', serialize=True)
    asyncio.run(_serve(address))


if __name__ == '__main__':
    fire.Fire(run)
