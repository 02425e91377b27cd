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

_SILENCE: Final = 'silent'
_DROP: Final = 'drop_targets'
_Listeners: TypeAlias = Mapping[str, ProxyListener]


@final
class ProxyFaultsHandler(RequestHandler):
    """``/faults``: report the listeners, or change faults.

    ``POST`` takes the fields of ``LinkFaults``, ``silent`` and
    ``drop_targets``, and the optional ``names`` (absent: all listeners). Fields not given are kept.
    """

    def initialize(self, listeners: _Listeners) -> None:
        """Take the listeners by name."""
        self._listeners = listeners

    async def get(self) -> None:
        """Answer with the faults and the number of connections by name."""
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
        """Change the faults of the named listeners."""
        changes = json.loads(self.request.body)
        names = changes.pop('names', list(self._listeners))
        is_silent = changes.pop(_SILENCE, False)
        is_dropped = changes.pop(_DROP, False)
        for listener in self._named(names):
            self._change(listener, changes)
            if is_silent:
                listener.silence_connections()
            if is_dropped:
                listener.drop_targets()
        await self.get()

    def _named(self, names: Iterable[str]) -> list[ProxyListener]:
        try:
            return [self._listeners[name] for name in names]
        except KeyError as error:
            raise HTTPError(404) from error

    def _change(
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
    """Forward ``links`` (name to ``listen=target``); control at ``admin``."""
    logger.remove()
    logger.add(sys.stderr, level='INFO', serialize=True)
    asyncio.run(_serve(admin, links))


if __name__ == '__main__':
    fire.Fire(run)
