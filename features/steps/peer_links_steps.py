"""Steps of relaying.feature for the connections between hosts."""

import asyncio
from typing import Any, Final

from behave import given, then, when
from tornado.tcpclient import TCPClient

from features.group_builders import DATA_CENTRE
from features.peer_fakes import FakePeer
from mimosapond.boot_clock import boot_time_s
from mimosapond.peers.peer import Peer
from mimosapond.peers.peer_frame import PeerFrame
from mimosapond.peers.peer_link import LinkFailure
from mimosapond.peers.peer_links import PeerLinks

_PATH: Final = '/v1/reads'
_ANSWER_TIMEOUT_S: Final = 1.0
_SILENT_TIMEOUT_S: Final = 0.3
_FOLLOWING_COUNT: Final = 5


@given('another host that answers its first request last')
def build_slow(context: Any) -> None:
    """Choose the fake; the step that sends starts it."""
    context.is_first_connection_silent = False


@given('another host that is silent on its first connection')
def build_silent(context: Any) -> None:
    """Choose the fake; the step that sends starts it."""
    context.is_first_connection_silent = True


@when('{count:d} requests are sent to it at the same time')
def send_many(context: Any, count: int) -> None:
    """Send distinct requests and keep their answers."""
    context.sent = asyncio.run(
        _send_many(context.is_first_connection_silent, count, 0)
    )


@when('a request gets no answer, and others follow')
def send_after_silence(context: Any) -> None:
    """Let a request time out before the others are sent."""
    context.sent = asyncio.run(
        _send_many(context.is_first_connection_silent, _FOLLOWING_COUNT, 1)
    )


async def _send_many(
    is_first_connection_silent: bool, count: int, unanswered_count: int
) -> tuple[list[Any], int]:
    fake = FakePeer(is_first_connection_silent=is_first_connection_silent)
    peer = Peer('far', fake.open_port(), DATA_CENTRE)
    links = PeerLinks(boot_time_s)
    waiting = [
        asyncio.create_task(links.call(peer, _PATH, b'lost', _ANSWER_TIMEOUT_S))
        for _ in range(unanswered_count)
    ]
    if waiting:
        await asyncio.sleep(_SILENT_TIMEOUT_S)
    calls = (
        links.call(peer, _PATH, str(number).encode(), _ANSWER_TIMEOUT_S)
        for number in range(count)
    )
    answers = list(await asyncio.gather(*calls))
    for lost in await asyncio.gather(*waiting):
        assert isinstance(lost, LinkFailure) and lost.was_sent, lost
    fake.stop()
    return answers, fake.connection_count


@then('each request gets its own answer over {count:d} connection')
def check_answers(context: Any, count: int) -> None:
    """Compare the bodies and the number of connections."""
    answers, connection_count = context.sent
    for number, answer in enumerate(answers):
        assert isinstance(answer, PeerFrame), answer
        assert answer.body == str(number).encode(), answer
    assert connection_count == count, connection_count


@then('the others are answered over a second connection')
def check_replaced(context: Any) -> None:
    """Check all answers and that one more connection was opened."""
    check_answers(context, 2)


@when('another host sends bytes that are no request')
def send_garbage(context: Any) -> None:
    """Send a line that has no header, and one with a huge length."""
    peer = context.pair.directory.choose(1)[0]
    for content in (b'GET / HTTP/1.1\r\n\r\n', b'1 /v1/reads 9999999999\n'):
        context.loop.run_until_complete(_send_bytes(peer, content))


async def _send_bytes(peer: Peer, content: bytes) -> None:
    ip, _, port = peer.address.rpartition(':')
    stream = await TCPClient().connect(ip, int(port))
    await stream.write(content)
    async with asyncio.timeout(_ANSWER_TIMEOUT_S):
        assert not await stream.read_until_close()
