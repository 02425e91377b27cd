"""Entry point of the stand-ins for the services of the users' platform.

``python -m standins.platform_services.daemon SETTINGS.json``
"""

import asyncio
import json
import pathlib
import sys
from typing import Final

import fire
from loguru import logger

from mimosapond.codec import decode
from standins.platform_services.promotion_service import PromotionService
from standins.platform_services.settings import PlatformServicesSettings
from standins.platform_services.table_store import TableStore


# Time without a fault after which the store counts as stable again.
_STABLE_WINDOW_S: Final = 4.0


async def _serve(settings: PlatformServicesSettings) -> None:
    store = TableStore(settings.late_s, settings.link_ports)
    promotion = PromotionService(
        settings.groups,
        settings.late_s,
        lambda: store.server.was_disturbed_within(_STABLE_WINDOW_S),
    )
    for ip in ('127.0.0.1', *settings.host_ips):
        store.listen(ip, settings.store_port)
        promotion.server.listen(ip, settings.promotion_port)
    logger.info('platform services listen on port {}', settings.store_port)
    await asyncio.Event().wait()


def run(path: str) -> None:
    """Serve until killed, with the settings of a JSON file."""
    logger.remove()
    logger.add(sys.stderr, level='INFO', serialize=True)
    content = json.loads(pathlib.Path(path).read_text(encoding='utf-8'))
    asyncio.run(_serve(decode(PlatformServicesSettings, content)))


if __name__ == '__main__':
    fire.Fire(run)
