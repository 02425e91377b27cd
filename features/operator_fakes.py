"""Fakes of the daemon behind the operator and caller listeners."""

import asyncio
import json
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from features.product_builders import build_document, build_status
from mimosapond.errors import refuse, unknown
from mimosapond.group_view import GroupView
from mimosapond.host_status import HostStatus
from mimosapond.operator_results import (
    ApplyResult,
    DocumentApplied,
    DrainResult,
    HostDrainResult,
    HostDrainStarted,
    PromoteResult,
    TargetDrainState,
)
from mimosapond.refusal_reason import RefusalReason
from mimosapond.service_document import ServiceDocument

IN_FORCE_REVISION = 4


class FakeOperatorActions:
    """Stores the document of the forge example and records each action."""

    def __init__(self) -> None:
        """Start with the document at ``IN_FORCE_REVISION``."""
        self.calls: list[str] = []
        self.stored = {'forge-ledger': build_document(IN_FORCE_REVISION)}

    def status(self) -> HostStatus:
        """Return a fixed status."""
        return build_status()

    def documents(self) -> tuple[ServiceDocument, ...]:
        """Return the stored documents."""
        return tuple(self.stored.values())

    def document(self, service: str) -> ServiceDocument | None:
        """Return the stored document of ``service``."""
        return self.stored.get(service)

    async def apply_document(
        self,
        document: ServiceDocument,
        expected_revision: int,
    ) -> ApplyResult:
        """Check the revision without storing the document."""
        self.calls.append(f'apply {document.service} {expected_revision}')
        current = self.stored.get(document.service)
        revision = 0 if current is None else current.revision
        if revision != expected_revision:
            return refuse(
                RefusalReason.DOCUMENT_CONFLICT,
                service=document.service,
                revision=revision,
                expected=expected_revision,
            )
        return DocumentApplied(document.service, revision + 1)

    async def set_target_leaving(
        self,
        member_name: str,
        *,
        is_leaving: bool,
    ) -> DrainResult:
        """Succeed for the member forge-a-1 only."""
        self.calls.append(f'leaving {member_name} {is_leaving}')
        if member_name == 'forge-a-1':
            return TargetDrainState(member_name, is_leaving)
        return refuse(RefusalReason.UNKNOWN_TARGET, member=member_name)

    async def promote(
        self,
        group_name: str,
        member_name: str,
    ) -> PromoteResult:
        """Succeed for forge-a, be unknown for forge-b, raise for forge-c."""
        self.calls.append(f'promote {group_name} {member_name}')
        match group_name:
            case 'forge-a':
                return GroupView(group_name, 4, member_name, 'kigali-a-1.4f2a')
            case 'forge-b':
                return unknown('', 'no member answered the promotion.')
            case 'forge-c':
                raise RuntimeError('a fault of the daemon')
            case _:
                return refuse(RefusalReason.UNKNOWN_GROUP, group=group_name)

    async def drain_host(self) -> HostDrainResult:
        """Accept the request without shutting anything down."""
        self.calls.append('drain host')
        return HostDrainStarted('kigali-a-1.4f2a')


class FakeCallerHandler(RequestHandler):
    """Answers by the name of the workspace and records each body."""

    def initialize(self, calls: list[dict[str, Any]]) -> None:
        """Set the list to which received bodies are appended."""
        self._calls = calls

    async def post(self) -> None:
        """Answer with an outcome, or close the connection instead."""
        body = json.loads(self.request.body)
        self._calls.append(body)
        match body['workspace']:
            case 'lost':
                self.detach().close()
            case 'unknown':
                self._answer('unknown', message='The request may have run.')
            case 'refused':
                self._answer(
                    'refused',
                    reason='no_target',
                    message='No member can serve this read.',
                    remedy='Send the request again.',
                )
            case _:
                self._answer('completed', results=[])

    def _answer(self, outcome: str, **fields: Any) -> None:
        self.finish({'outcome': outcome, **fields})


def build_caller_application(calls: list[dict[str, Any]]) -> Application:
    """Build the application of a fake caller listener."""
    parts = {'calls': calls}
    return Application(
        [('/v1/(?:outcomes|statements)', FakeCallerHandler, parts)],
        log_function=lambda _: None,
    )


@contextmanager
def serve(application: Application) -> Iterator[str]:
    """Serve on an ephemeral loopback port, in a thread of its own.

    The command-line tool runs its own event loop in the calling thread.
    """
    # Log lines of requests would hide the test report.
    logger.disable('mimosapond.operator_handlers')
    loop = asyncio.new_event_loop()
    sockets = bind_sockets(0, '127.0.0.1')
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    server = asyncio.run_coroutine_threadsafe(
        _start(application, sockets), loop
    ).result()
    port = sockets[0].getsockname()[1]
    try:
        yield f'127.0.0.1:{port}'
    finally:
        asyncio.run_coroutine_threadsafe(_stop(server), loop).result()
        _join(thread, loop)
        logger.enable('mimosapond.operator_handlers')


async def _start(application: Application, sockets: list[Any]) -> HTTPServer:
    server = HTTPServer(application)
    server.add_sockets(sockets)
    return server


async def _stop(server: HTTPServer) -> None:
    server.stop()
    await server.close_all_connections()


def _join(thread: threading.Thread, loop: asyncio.AbstractEventLoop) -> None:
    loop.call_soon_threadsafe(loop.stop)
    thread.join()
    loop.close()
