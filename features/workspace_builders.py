"""Builders of configurations with workspaces, and of sessions with keys."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any, Final, final

import attrs
from loguru import logger
from tornado.netutil import bind_sockets

from features.group_builders import (
    DATABASE,
    GroupWorld,
    build_configuration,
    build_route,
)
from mimosapond.boot_clock import boot_time_s
from mimosapond.configuration.configuration import Configuration
from mimosapond.configuration.key_digest import digest_key
from mimosapond.configuration.workspace import Workspace
from mimosapond.entry.session_registry import SessionRegistry
from mimosapond.platform.caller_server import CallerServer
from mimosapond.groups.group import Group
from mimosapond.routing.work import Work
from mimosapond.sessions.session import Session
from mimosapond.statements.reply import Reply, Success
from mimosapond.statements.statement import DirectStatement

WORKSPACE: Final = 'forge'
_LOOPBACK: Final = '127.0.0.1'
_ANSWER_S: Final = 0.3
# Time in which the host notices that the caller has left.
_SETTLE_S: Final = 0.05


def build_workspace_configuration(
    version: int, keys: Iterable[str], *, is_anonymous: bool = False
) -> Configuration:
    """Build a configuration with one workspace, which has these keys."""
    route = attrs.evolve(build_route(), is_anonymous=is_anonymous)
    workspace = Workspace(
        name=WORKSPACE,
        key_digests=frozenset(digest_key(key) for key in keys),
        priority=1,
        rate_per_s=100,
        burst_count=50,
    )
    return attrs.evolve(
        build_configuration(route, version), workspaces={WORKSPACE: workspace}
    )


def build_stored_configuration(tenants: str) -> bytes:
    """Build a stored configuration from the JSON text of its workspaces."""
    body: dict[str, Any] = {
        'version': 1,
        'routes': [],
        'services': [],
        'limits': {'tx_idle_ms': 3000},
    }
    if tenants != 'absent':
        body['tenants'] = json.loads(tenants)
    return json.dumps(body).encode()


def open_keyed_session(world: GroupWorld, key: str) -> Session:
    """Open a session of a caller with a key on the database of the group."""
    return Session(DATABASE, world.services, digest_key(key))


def build_work(group: Group, key: str, version: int) -> Work:
    """Build a read of a caller with a key, by a version of its route."""
    now_s = boot_time_s()
    return Work(
        request_id='r1',
        statement=DirectStatement('read x', is_write=False),
        values={},
        route=build_route(),
        group=group,
        arrived_s=now_s,
        deadline_s=now_s + 1,
        floor=None,
        workspace=WORKSPACE,
        key_digest=digest_key(key),
        configuration_version=version,
    )


@final
class RecordingReads:
    """Records the work of reads and answers them; see ``ReadRouter``."""

    def __init__(self) -> None:
        """Start without records."""
        self.works: list[Work] = []

    async def run(self, work: Work) -> Reply:
        """Record the work and report success."""
        self.works.append(work)
        return Success()


async def exchange_lines(registry: SessionRegistry, lines: str) -> str:
    """Send lines to a host as a caller, and return what it answers.

    Parameters
    ----------
    lines
        Ended by ``/`` each, as in the returned text. The text ends with
        ``closed`` if the host closes the connection.
    """
    server = CallerServer(registry)
    sockets = bind_sockets(0, _LOOPBACK)
    server.add_sockets(sockets)
    reader, writer = await asyncio.open_connection(
        _LOOPBACK, sockets[0].getsockname()[1]
    )
    writer.write(lines.replace('/', '\r\n').encode())
    received = bytearray()
    try:
        async with asyncio.timeout(_ANSWER_S):
            while not reader.at_eof():
                received += await reader.readline()
    except TimeoutError:
        logger.debug('the connection stays open')
    is_closed = reader.at_eof()
    writer.close()
    server.stop()
    await asyncio.sleep(_SETTLE_S)
    text = received.decode().replace('\r\n', '/')
    return f'{text}closed' if is_closed else text
