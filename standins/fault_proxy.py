"""Entry point of a TCP proxy that injects network faults.

``python -m standins.fault_proxy --admin=127.0.0.1:7200
--links='{"forge-a-1": "127.0.0.1:7301=127.0.0.1:7001"}'``
"""

import asyncio
import json
import sys
from collections.abc import Iterable, Mapping
from typing import Any, Final, TypeAlias, final

import cattrs
import fire
from loguru import logger
from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

from mimosapond.codec import decode, encode
from standins.fault_proxy_faults import LinkFaults
from standins.fault_proxy_listener import ProxyListener

_SILENT_FIELD: Final = 'silent'
_DROP_TARGETS_FIELD: Final = 'drop_targets'
_Listeners: TypeAlias = Mapping[str, ProxyListener]


@final
class ProxyFaultsHandler(RequestHandler):
    """``/faults``: report the listeners, or change their faults.

    ``POST`` takes fields of ``LinkFaults``, ``silent``, ``drop_targets`` and
    ``names``. Faults that are not given are kept. Without ``names``, all
    listeners are changed.
    """

    def initialize(self, listeners: _Listeners) -> None:
        """Store the listeners by name."""
        self._listeners = listeners

    async def get(self) -> None:
        """Respond with faults, connection and byte counts by name."""
        self.finish(
            {
                listener.name: {
                    **encode(listener.faults),
                    'connection_count': listener.connection_count,
                    **encode(listener.forwarded),
                }
                for listener in self._listeners.values()
            }
        )

    async def post(self) -> None:
        """Change the faults of the named listeners.

        Responds with the new state, with 404 for an unknown name and 400 for
        an invalid fault.
        """
        changes = json.loads(self.request.body)
        names = changes.pop('names', list(self._listeners))
        is_silent = changes.pop(_SILENT_FIELD, False)
        is_dropped = changes.pop(_DROP_TARGETS_FIELD, False)
        for listener in self._find_listeners(names):
            self._change_faults(listener, changes)
            if is_silent:
                listener.silence_connections()
            if is_dropped:
                listener.drop_targets()
        await self.get()

    def _find_listeners(self, names: Iterable[str]) -> list[ProxyListener]:
        try:
            return [self._listeners[name] for name in names]
        except KeyError as error:
            raise HTTPError(404) from error

    def _change_faults(
        self,
        listener: ProxyListener,
        changes: Mapping[str, Any],
    ) -> None:
        try:
            faults = decode(LinkFaults, {**encode(listener.faults), **changes})
        except cattrs.BaseValidationError as error:
            raise HTTPError(400) from error
        listener.apply_faults(faults)


async def _serve(admin: str, links: Mapping[str, str]) -> None:
    listeners: dict[str, ProxyListener] = {}
    for name, link in links.items():
        listen, target = link.split('=')
        listeners[name] = ProxyListener(name, listen, target)
        await listeners[name].start()
    shared = {'listeners': listeners}
    application = Application([('/faults', ProxyFaultsHandler, shared)])
    host, port = admin.rsplit(':', 1)
    HTTPServer(application).listen(int(port), host)
    logger.info('fault proxy forwards {} listeners', len(listeners))
    await asyncio.Event().wait()


def run(admin: str, links: dict[str, str]) -> None:
    """Forward connections until killed.

    Parameters
    ----------
    admin
        Address (``ip:port``) of the control interface.
    links
        ``listen=target`` by name, both as ``ip:port``.
    """
    logger.remove()
    logger.add(sys.stderr, level='INFO', serialize=True)
    asyncio.run(_serve(admin, links))


if __name__ == '__main__':
    fire.Fire(run)
