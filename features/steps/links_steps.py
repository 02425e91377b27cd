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

# The answer of a call, and whether the link could be used again after it.
_Met: TypeAlias = tuple[PeerResult, bool]
_TIMEOUT_S: Final = 10
_TEXT: Final = 'asked'
# In which the first call is written and the timers are set.
_SETTLE_S: Final = PING_INTERVAL_S / 10
_CALL_DUE_S: Final = PING_INTERVAL_S / 4
# Until when the caller's loop is blocked: only the named one is due by then.
_BLOCKED_S: Final[Mapping[str, float]] = MappingProxyType(
    {'a ping': PING_INTERVAL_S * 1.25, 'another call': PING_INTERVAL_S / 2},
)


@given('links to a host that leaves as soon as its calls have ended')
def start_host(context: Any) -> None:
    """Serve in a thread."""
    stack = contextlib.ExitStack()
    context.add_cleanup(stack.close)
    context.host = stack.enter_context(leaving_host())


@when('links get the answer and the end just when {writer} is due')
def meet_the_end(context: Any, writer: str) -> None:
    """Block the caller's loop until all of it can be handled at once."""
    context.answers = asyncio.run(_call_and_meet(context.host, writer))


@then('links passed the answer on')
def check_answer(context: Any) -> None:
    """The call ends with its own answer."""
    answer, _is_open = context.answers[0]
    assert answer == PeerAnswered({'text': _TEXT}), answer


@then('links told that the other call was not sent')
def check_unsent(context: Any) -> None:
    """The other call had no effect."""
    answer, _is_open = context.answers[1]
    assert isinstance(answer, PeerUnavailable), answer
    assert not answer.sent, answer


@then('links were given up by then')
def check_given_up(context: Any) -> None:
    """A further try opens a connection of its own."""
    _answer, is_open = context.answers[1]
    assert not is_open


async def _call_and_meet(host: LeavingHost, writer: str) -> list[_Met]:
    link = await JsonLink.open(f'ws://{host.address}/peer', {}, _TIMEOUT_S)
    assert isinstance(link, JsonLink), link
    calls = [asyncio.create_task(_call(link, 0))]
    if writer == 'another call':
        calls.append(asyncio.create_task(_call(link, _CALL_DUE_S)))
    started_s = time.monotonic()
    await asyncio.sleep(_SETTLE_S)
    host.leave()
    left_s = started_s + _BLOCKED_S[writer] - time.monotonic()
    time.sleep(max(0, left_s))
    return await asyncio.gather(*calls)


async def _call(link: JsonLink, delay_s: float) -> _Met:
    await asyncio.sleep(delay_s)
    answer = await link.call('work', {'text': _TEXT}, _TIMEOUT_S)
    return answer, link.is_open
