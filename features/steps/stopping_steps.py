"""Steps of stopping.feature."""

import asyncio
import time
from typing import Any, Final

from behave import given, then, when

from features.relay_builders import caller_statements
from features.stop_builders import (
    StoppingHost,
    build_slow_world,
    name_answer,
    send_all,
)
from mimosapond.boot_clock import boot_time_s
from soak.caller_connection import Answer, CallerConnection

_MS_PER_S: Final = 1000
_CALLER_COUNT: Final = 8
_PAUSE_S: Final = 0.02
_SETTLE_S: Final = 0.1
_GRACE_S: Final = 2
_ARRIVAL_S: Final = 0.005
_BUSY_CALLER_COUNT: Final = 40
_BUSY_S: Final = 0.5
_IN_TRANSACTION: Final = ' in a transaction'
_WORKLOADS: Final = (
    ('READ x',),
    ('WRITE x 1',),
    ('BEGIN', 'READ x', 'WRITE x 1', 'COMMIT'),
)


@given('a host whose members need {work_ms:d} ms for a statement')
def build_host(context: Any, work_ms: int) -> None:
    """Build the group; the when step starts the host in its event loop."""
    context.world = build_slow_world(work_ms)
    context.work_ms = work_ms


@given('a caller with a statement timeout of {timeout_s:d} s')
def set_timeout(context: Any, timeout_s: int) -> None:
    """Let statements take longer than the rest of the grace period."""
    context.world = build_slow_world(context.work_ms, timeout_s * _MS_PER_S)


@when('the host stops within {grace_s:d} s while callers keep coming')
def stop_under_load(context: Any, grace_s: int) -> None:
    """Open sessions until the host has ended, and collect all answers."""
    context.answers = asyncio.run(_stop_under_load(context.world, grace_s))


async def _stop_under_load(
    world: Any, grace_s: float
) -> list[tuple[float, Answer]]:
    host = await StoppingHost.start(world)
    answers: list[tuple[float, Answer]] = []
    callers = [
        asyncio.create_task(_call(host, number, answers))
        for number in range(_CALLER_COUNT)
    ]
    await asyncio.sleep(_SETTLE_S)
    started_s = boot_time_s()
    await host.stop(grace_s)
    for caller in callers:
        caller.cancel()
    await host.end()
    return [(at_s - started_s, answer) for at_s, answer in answers]


async def _call(
    host: StoppingHost, number: int, answers: list[tuple[float, Answer]]
) -> None:
    while True:
        connection = await host.connect()
        if connection is not None:
            texts = _WORKLOADS[number % len(_WORKLOADS)]
            for answer in await send_all(connection, texts):
                answers.append((boot_time_s(), answer))
            connection.close()
        await asyncio.sleep(_PAUSE_S)


@then('every statement was answered before the host ended')
def check_answered(context: Any) -> None:
    """Check that no connection ended in the place of an answer."""
    lost = [
        (at_s, answer)
        for at_s, answer in context.answers
        if not name_answer(answer)
    ]
    assert not lost, lost


@then('callers were served after the stop began')
def check_served(context: Any) -> None:
    """Check that the host answered during the stop, until its last phase."""
    last_s = max(at_s for at_s, _ in context.answers)
    assert last_s > _GRACE_S / 4, last_s


@when(
    'the host stops within {grace_s:d} s while a caller waits for {statements}',
)
def send_and_stop(context: Any, grace_s: int, statements: str) -> None:
    """Stop the host while the last statement is under way."""
    texts = statements.split(', ')
    context.answers = asyncio.run(_send_and_stop(context.world, texts, grace_s))


async def _send_and_stop(
    world: Any, texts: list[str], grace_s: float
) -> list[Answer]:
    host = await StoppingHost.start(world)
    connection = await host.connect()
    assert connection is not None
    sending = asyncio.create_task(send_all(connection, texts))
    await asyncio.sleep(_SETTLE_S)
    await host.stop(grace_s)
    await host.end(sending)
    connection.close()
    return await sending


@then('the last answer on the wire is {answer}')
def check_last_answer(context: Any, answer: str) -> None:
    """Compare the word of the last answer."""
    assert name_answer(context.answers[-1]) == answer, context.answers


@when('the host has {left_ms:d} ms left for answers')
def note_time_left(context: Any, left_ms: int) -> None:
    """Remember the time; the next step starts the host."""
    context.left_s = left_ms / _MS_PER_S


@when('a caller of the stopping host sends {statements}')
def send_late(context: Any, statements: str) -> None:
    """Send the last statement when that little time is left."""
    text = statements.removesuffix(_IN_TRANSACTION)
    is_open = statements.endswith(_IN_TRANSACTION)
    context.answers = asyncio.run(
        _send_late(context.world, context.left_s, text, is_open=is_open)
    )


async def _send_late(
    world: Any, left_s: float, text: str, *, is_open: bool
) -> list[Answer]:
    host = await StoppingHost.start(world)
    connection = await host.connect()
    assert connection is not None
    if is_open:
        await send_all(connection, ['BEGIN', 'READ y'])
        for fake in world.fakes.values():
            fake.executed_statements.clear()
    world.services.limits.end_at(boot_time_s() + left_s)
    answers = await send_all(connection, [text])
    connection.close()
    await host.end()
    return answers


@then('the members ran {count:d} statements')
def check_run(context: Any, count: int) -> None:
    """Count the callers' statements at all members."""
    found = [
        text
        for text in caller_statements(context.world.fakes)
        if text not in {'BEGIN', 'ROLLBACK'}
    ]
    assert len(found) == count, found


@then('a new session is refused with {code}')
def check_session_refused(context: Any, code: str) -> None:
    """Check the reply to the start of a session."""
    context.world.services.limits.end_at(boot_time_s() + context.left_s)
    assert asyncio.run(_start_session(context.world)).split(' ')[1] == code


async def _start_session(world: Any) -> str:
    host = await StoppingHost.start(world)
    reader, writer = await asyncio.open_connection('127.0.0.1', host.port)
    writer.write(b'START book late\r\n')
    line = (await reader.readline()).decode()
    assert await reader.read() == b''
    writer.close()
    await host.end()
    return line


@when(
    'a request arrives up to {turn_count:d} turns of the event loop before '
    'idle sessions are closed',
)
def close_around_arrival(context: Any, turn_count: int) -> None:
    """Close idle sessions after each possible number of turns."""
    context.answers = [
        asyncio.run(_close_after(context.world, turns))
        for turns in range(turn_count + 1)
    ]


async def _close_after(world: Any, turns: int) -> Answer:
    host = await StoppingHost.start(world)
    connection = await host.connect()
    assert connection is not None
    await asyncio.sleep(_SETTLE_S)
    asking = asyncio.create_task(send_all(connection, ['WRITE x 1']))
    # The task has sent the request when this turn ends.
    await asyncio.sleep(0)
    # Data that is sent on the loopback interface has arrived after this time.
    time.sleep(_ARRIVAL_S)
    for _ in range(turns):
        await asyncio.sleep(0)
    host.registry.close_when_idle()
    host.registry.close_idle()
    answers = await asking
    connection.close()
    await host.end()
    return answers[-1]


@when('callers send requests without a pause while the host stops')
def send_without_pause(context: Any) -> None:
    """Let callers use their session until the host closes it."""
    context.answers = asyncio.run(_send_without_pause(context.world))


async def _send_without_pause(world: Any) -> list[Answer]:
    host = await StoppingHost.start(world)
    connections = [await host.connect() for _ in range(_BUSY_CALLER_COUNT)]
    sending = [
        asyncio.create_task(_send_for(connection, _BUSY_S))
        for connection in connections
        if connection is not None
    ]
    await asyncio.sleep(_SETTLE_S)
    stopping = asyncio.create_task(host.stop(_GRACE_S))
    found = await asyncio.gather(*sending)
    await stopping
    await host.end()
    return [answer for answers in found for answer in answers]


async def _send_for(
    connection: CallerConnection, limit_s: float
) -> list[Answer]:
    """Send requests without a pause, then wait until the host closes."""
    answers: list[Answer] = []
    end_s = boot_time_s() + limit_s
    while boot_time_s() < end_s and connection.is_open:
        answers.extend(await send_all(connection, ['READ x']))
    while connection.is_open:
        await asyncio.sleep(_PAUSE_S)
    return answers


@then('each of these requests was answered')
def check_each_answered(context: Any) -> None:
    """Check that none of the requests ended without an answer."""
    words = [name_answer(answer) for answer in context.answers]
    assert words and all(words), words
