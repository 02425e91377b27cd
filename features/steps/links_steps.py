"""Steps of links.feature."""

import asyncio
import contextlib
import time
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, TypeAlias

from behave import given, then, when

from features.links_server import LeavingHost, leaving_host
from mimosapond.json_link import PING_INTERVAL_S, JsonLink
from mimosapond.peer_results import PeerAnswered, PeerResult, PeerUnavailable

# The result of a call, and whether the link accepted further calls after it.
_CallEnd: TypeAlias = tuple[PeerResult, bool]
_TIMEOUT_S: Final = 10
_TEXT: Final = 'asked'
# Time in which the first call is written and the timers are started.
_START_S: Final = PING_INTERVAL_S / 10
_CALL_DELAY_S: Final = PING_INTERVAL_S / 4
# Time for which the event loop of the caller is blocked, by writer. When the
# loop continues, only the timer of this writer has expired.
_BLOCKED_S: Final[Mapping[str, float]] = MappingProxyType(
    {'a ping': PING_INTERVAL_S * 1.25, 'another call': PING_INTERVAL_S / 2},
)


@given('links to a host that shuts down as soon as its calls have ended')
def start_host(context: Any) -> None:
    """Run the host in a thread."""
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.host = stack.enter_context(leaving_host())


@when('links receive the answer and the close just before {writer} is sent')
def call_closing_host(context: Any, writer: str) -> None:
    """Block the event loop of the caller until all three are ready."""
    context.answers = asyncio.run(_call_until_closed(context.host, writer))


@then('links returned the answer')
def check_answer(context: Any) -> None:
    """Check that the call returned its own answer."""
    answer, _is_open = context.answers[0]
    assert answer == PeerAnswered({'text': _TEXT}), answer


@then('links reported the other call as not sent')
def check_unsent(context: Any) -> None:
    """Check that the other call is known to have had no effect."""
    answer, _is_open = context.answers[1]
    assert isinstance(answer, PeerUnavailable), answer
    assert not answer.sent, answer


@then('links accept no further calls')
def check_unusable(context: Any) -> None:
    """Check that a retry would open a new connection."""
    _answer, is_open = context.answers[1]
    assert not is_open


async def _call_until_closed(host: LeavingHost, writer: str) -> list[_CallEnd]:
    link = await JsonLink.open(f'ws://{host.address}/peer', {}, _TIMEOUT_S)
    assert isinstance(link, JsonLink), link
    calls = [asyncio.create_task(_call(link, 0))]
    if writer == 'another call':
        calls.append(asyncio.create_task(_call(link, _CALL_DELAY_S)))
    started_s = time.monotonic()
    await asyncio.sleep(_START_S)
    host.leave()
    left_s = started_s + _BLOCKED_S[writer] - time.monotonic()
    time.sleep(max(0, left_s))
    return await asyncio.gather(*calls)


async def _call(link: JsonLink, delay_s: float) -> _CallEnd:
    await asyncio.sleep(delay_s)
    answer = await link.call('work', {'text': _TEXT}, _TIMEOUT_S)
    return answer, link.is_open
