"""Steps of database_group.feature."""

import asyncio
import fnmatch
import json
import pathlib
import tempfile
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final

from behave import given, then, when

from features.database_group_builders import (
    PATIENT_S,
    GroupRig,
    build_settings,
    ports_of,
)
from mimosapond.codec import encode
from mimosapond.groups.log_position import LogPosition
from mimosapond.groups.member_answer import Completed
from mimosapond.groups.member_record import MemberRecord
from mimosapond.groups.member_status import MemberStatus
from mimosapond.platform.member_dialer import WireMemberDialer
from mimosapond.statements.statement import Begin
from standins.database_group.signature import is_answer_to
from standins.processes import Processes, free_addresses

# Far above the time in which a port of this machine answers.
_CONNECT_S: Final = 0.5
_SHAPES: Final = MappingProxyType({'mine': 'READ q2c', 'its': 'READ q2d'})


@given('a database group')
@given('a database group with "{name}" {amount:d}')
def start_group(context: Any, name: str = 'seed', amount: int = 5) -> None:
    """Start a group in the process of the test."""
    context.rig = GroupRig(**{name: amount})
    context.add_cleanup(context.rig.close)


@given('a database group that records transactions after {limit_ms:d} ms')
def start_watched_group(context: Any, limit_ms: int) -> None:
    """Start a group with another limit."""
    context.rig = GroupRig(limit_ms / 1000)
    context.add_cleanup(context.rig.close)


@when('caller "{name}" starts with "{start}" at "{member}"')
def start_caller(context: Any, name: str, start: str, member: str) -> None:
    """Open a connection."""
    context.rig.run(context.rig.connect(name, member, start))


async def _is_silent(rig: GroupRig, member: str) -> bool:
    try:
        async with asyncio.timeout(_CONNECT_S):
            await rig.connect('late', member, 'g1 me')
    except TimeoutError:
        return True
    return False


@then('no caller can connect to "{member}"')
def check_silent(context: Any, member: str) -> None:
    """Try to connect; a refusal would be an answer."""
    assert context.rig.run(_is_silent(context.rig, member))


async def _ask(rig: GroupRig, name: str, member: str, request: str) -> None:
    caller = await rig.caller(name, member)
    await caller.ask(request)


async def _leave(rig: GroupRig, name: str, member: str, line: str) -> None:
    caller = await rig.caller(name, member)
    caller.send(line)


@when('caller "{name}" sends "{request}" to "{member}"')
def send(context: Any, name: str, request: str, member: str) -> None:
    """Make a request."""
    context.rig.run(_ask(context.rig, name, member, request))


@when('caller "{name}" sends these to "{member}"')
def send_all(context: Any, name: str, member: str) -> None:
    """Make one request after another."""
    for request in context.text.split('; '):
        context.rig.run(_ask(context.rig, name, member, request))


@when('caller "{name}" leaves "{request}" unanswered at "{member}"')
def leave(context: Any, name: str, request: str, member: str) -> None:
    """Make a request without reading the answer."""
    line = request if request == 'TERMINATE' else f'QUERY {request}'
    context.rig.run(_leave(context.rig, name, member, line))
    context.rig.callers[name].answer = []


@when('{count:d} callers leave "{text}" unanswered at "{member}"')
def leave_many(context: Any, count: int, text: str, member: str) -> None:
    """Start all connections, and then make a request on each."""
    for name in range(count):
        context.rig.run(context.rig.caller(str(name), member))
    for number in range(count):
        request = f's{number}.t0.1 {text}'
        leave(context, str(number), request, member)


async def _answer(rig: GroupRig, name: str, expected: str) -> str:
    caller = rig.callers[name]
    if expected == 'nothing':
        return 'nothing' if await caller.is_quiet() else 'something'
    lines = caller.answer or await caller.read()
    caller.answer = []
    return lines[-1] if expected == 'a part' else '/'.join(lines)


@then('caller "{name}" gets "{expected}"')
def check_answer(context: Any, name: str, expected: str) -> None:
    """Compare the last answer, or the next one, with a pattern."""
    found = context.rig.run(_answer(context.rig, name, expected))
    assert fnmatch.fnmatchcase(found, expected), found


@then('caller "{name}" gets {count:d} pieces that make up "{expected}"')
def check_pieces(context: Any, name: str, count: int, expected: str) -> None:
    """Compare the pieces of the next answer."""
    pieces = context.rig.run(context.rig.callers[name].read_pieces())
    whole = ''.join(pieces).replace('\r\n', '/')
    assert len(pieces) == count, pieces
    assert fnmatch.fnmatchcase(whole, expected), whole


@then('caller "{name}" is closed')
def check_closed(context: Any, name: str) -> None:
    """Wait for the end of the connection."""
    assert context.rig.run(context.rig.callers[name].is_closed())


@then(
    'as an answer to "{request_id}" "{text}" without {count:d} rows'
    ' it is "{verdict}"'
)
def check_signature(
    context: Any, request_id: str, text: str, count: int, verdict: str
) -> None:
    """Check the last answer as the caller of another request would."""
    *rows, complete, _ = context.rig.callers['a'].answer
    contents = [row.removeprefix('DATAROW ') for row in rows]
    signature = complete.removeprefix('COMPLETE ')
    kept = contents[: len(contents) - count]
    is_right = is_answer_to(request_id, text, _SHAPES, kept, signature)
    assert is_right == (verdict == 'right')


@when('the fault "{kind}" is set at "{members}"')
@when('the fault "{kind}" is set at "{members}" for {for_s:d} s')
def set_fault(context: Any, kind: str, members: str, for_s: int = 600) -> None:
    """Start a fault at each of the members."""
    for member in members.split():
        call = {'kind': kind, 'member_id': member, 'for_s': for_s}
        answer = context.rig.run(context.rig.call('/fault', **call))
        assert answer['status'] == 200, answer


@when('"{member}" leaves after {for_s:d} s and is replaced')
def replace(context: Any, member: str, for_s: int) -> None:
    """Let a member leave, and a new one start at its address."""
    call = {'kind': 'drain', 'member_id': member, 'replace_after_s': 0}
    context.rig.run(context.rig.call('/fault', for_s=for_s, **call))


@when('"{member}" is promoted')
def promote(context: Any, member: str) -> None:
    """Promote a member."""
    context.promotion = context.rig.run(
        context.rig.call('/promote', member_id=member)
    )


@then('the promotion gives the term {term:d}')
def check_term(context: Any, term: int) -> None:
    """Compare the term."""
    assert context.promotion == {'term': term, 'status': 200}


@then('the promotion is refused')
def check_refused(context: Any) -> None:
    """Compare the status."""
    assert context.promotion['status'] == 409


def _kept(report: Any) -> str:
    return ' '.join(each['request_id'] for each in report['commits'])


def _rules(report: Any) -> str:
    return ' '.join(each['rule'] for each in report['violations'])


@then('the group keeps "{expected}"')
@then('the group keeps ""')
def check_kept(context: Any, expected: str = '') -> None:
    """Compare the ids of the kept writes."""
    report = context.rig.run(context.rig.call('/report'))
    assert _kept(report) == expected, report


@then('the group records "{rule}"')
@then('the group records ""')
def check_rule(context: Any, rule: str = '') -> None:
    """Compare the violations."""
    report = context.rig.run(context.rig.call('/report'))
    assert _rules(report) == rule, report


def _shows_status(report: Any, member: str, expected: str) -> bool:
    return any(
        each['member_id'] == member
        and fnmatch.fnmatchcase(each['status'], expected)
        for each in report['members']
    )


def _entry(rig: GroupRig, member: str) -> str:
    row = rig.rows.get(member)
    fields = ('service', 'zone', 'state', 'db_role')
    return ' '.join(row[each] for each in fields) if row else 'nothing'


def _await(context: Any, is_right: Callable[[Any], bool]) -> None:
    context.rig.run(context.rig.await_report(is_right))


@then('the group comes to keep "{expected}"')
@then('the group comes to keep ""')
def await_kept(context: Any, expected: str = '') -> None:
    """Wait for the kept writes."""
    _await(context, lambda report: _kept(report) == expected)


@then('the group comes to record "{rule}"')
def await_rule(context: Any, rule: str) -> None:
    """Wait for a violation."""
    _await(context, lambda report: _rules(report) == rule)


@then('member "{member}" comes to report "{expected}"')
def await_status(context: Any, member: str, expected: str) -> None:
    """Wait for a status."""
    _await(context, lambda report: _shows_status(report, member, expected))


@then('the store comes to hold "{member}" as "{expected}"')
def await_row(context: Any, member: str, expected: str) -> None:
    """Wait for an entry of the store."""
    _await(context, lambda _: _entry(context.rig, member) == expected)


@given('the process of a database group')
def prepare_process(context: Any) -> None:
    """Write the settings of the process."""
    addresses = free_addresses(2)
    settings = build_settings(*addresses)
    context.ports = ports_of(settings)
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.path = pathlib.Path(context.folder.name) / 'settings.json'
    context.path.write_text(json.dumps(encode(settings)), encoding='utf-8')
    context.ready_url = f'http://{addresses[0]}/report'


async def _talk(context: Any, member: str) -> None:
    module = 'standins.database_group.daemon'
    port = context.ports[member]
    record = MemberRecord(
        member,
        'g1',
        '127.0.0.1',
        port,
        'a',
        is_leaving=False,
        reports_primary=True,
    )
    async with Processes() as processes:
        await processes.start(
            'group', module, [str(context.path)], context.ready_url
        )
        dialer = WireMemberDialer(PATIENT_S, PATIENT_S)
        link = await dialer.dial(record)
        context.status = await link.status(PATIENT_S)
        context.begun = await link.begin(Begin(False), None, PATIENT_S)
        link.close()


@when('the hosts\' client connects to "{member}"')
def talk(context: Any, member: str) -> None:
    """Start the process and use the client."""
    asyncio.run(_talk(context, member))


@then('its status is that of a primary at {term:d}.{number:d}')
def check_status(context: Any, term: int, number: int) -> None:
    """Compare the status."""
    position = LogPosition(term, number)
    assert context.status == MemberStatus(True, term, position, 0)


@then('its empty transaction is completed')
def check_begun(context: Any) -> None:
    """Compare the answer."""
    assert isinstance(context.begun, Completed), context.begun
