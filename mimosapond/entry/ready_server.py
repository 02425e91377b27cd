"""Answers the balancer's question whether this host takes new callers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import final

from tornado.web import Application, RequestHandler


@final
class ReadyHandler(RequestHandler):
    """Answers 200 or 503."""

    def initialize(self, is_ready: Callable[[], bool]) -> None:
        """Take what decides."""
        self._is_ready = is_ready

    def get(self) -> None:
        """Answer without a body."""
        if self._is_ready():
            self.set_status(HTTPStatus.OK)
        else:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)


def build_ready_application(
    path: str, is_ready: Callable[[], bool]
) -> Application:
    """Return the HTTP application of the ready address."""
    return Application([(path, ReadyHandler, {'is_ready': is_ready})])
