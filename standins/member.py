"""Entry point of the stand-in for one member of a database group.

``python -m standins.member --name=forge-a-1 --group=forge-a
--address=127.0.0.1:7001 --peers='["127.0.0.1:7002"]' --primary``
"""

import asyncio
import sys
from typing import Any

import fire
from loguru import logger

from mimosapond.codec import decode
from standins.member_application import MemberApplication
from standins.member_settings import MemberSettings


async def _serve(settings: MemberSettings) -> None:
    MemberApplication(settings).start()
    logger.info('member {} listens on {}', settings.name, settings.address)
    await asyncio.Event().wait()


def run(**flags: Any) -> None:
    """Run a member until killed; flags are fields of ``MemberSettings``."""
    logger.remove()
    logger.add(sys.stderr, level='INFO', serialize=True)
    asyncio.run(_serve(decode(MemberSettings, flags)))


if __name__ == '__main__':
    fire.Fire(run)
