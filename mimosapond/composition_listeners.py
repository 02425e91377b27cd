"""Opens the listeners for callers, other hosts and operators."""

from collections.abc import Iterable, Mapping
from typing import Any, Final

from tornado.web import Application

from mimosapond.caller_error_handler import UnknownPathHandler
from mimosapond.host_actions import HostActions
from mimosapond.json_link import MAX_MESSAGE_BYTES
from mimosapond.json_link_server import JsonLinkHandler
from mimosapond.listeners import Listeners
from mimosapond.operator_handlers import operator_application
from mimosapond.options import Options
from mimosapond.peer_port import PeerOperation

_PEER_PING_INTERVAL_S: Final = 20
_PEER_PING_TIMEOUT_S: Final = 10


def open_listeners(
    listeners: Listeners,
    options: Options,
    caller_routes: Iterable[Any],
    operations: Mapping[str, PeerOperation],
    actions: HostActions,
) -> None:
    """Open the listeners of a host.

    Parameters
    ----------
    listeners
        Holds the listeners afterwards.
    options
        Addresses, secrets and limits.
    caller_routes
        Routes of the HTTP interface for callers.
    operations
        Operations that other hosts may call, by name.
    actions
        Actions of operators.

    Raises
    ------
    ListenError
        If an address is in use, or is not an address of this machine.
    """
    listeners.open(
        'callers',
        options.caller_address,
        Application(
            list(caller_routes),
            default_handler_class=UnknownPathHandler,
            log_function=_ignore_request,
        ),
        options.caller_connection_limit_count,
    )
    peer = {'operations': operations, 'secret': options.peer_secret}
    listeners.open(
        'peers',
        options.peer_address,
        Application(
            [('/peer', JsonLinkHandler, peer)],
            default_handler_class=UnknownPathHandler,
            log_function=_ignore_request,
            websocket_max_message_size=MAX_MESSAGE_BYTES,
            # Closes links whose other end disappeared without closing them.
            websocket_ping_interval=_PEER_PING_INTERVAL_S,
            websocket_ping_timeout=_PEER_PING_TIMEOUT_S,
        ),
    )
    listeners.open(
        'operators',
        options.operator_address,
        operator_application(actions, options.operator_secret),
    )


def _ignore_request(_handler: object) -> None:
    """Log nothing, because the decision log covers these requests."""
