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
    TIMEOUT_S,
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

# Well above the time in which a local port answers.
_CONNECT_TIMEOUT_S: Final = 0.5
_PREPARED_STATEMENTS: Final = MappingProxyType(
    {'mine': 'READ q2c', 'its': 'READ q2d'}
)


@given('a database group')
@given('a database group with "{name}" {amount:d}')
def start_group(context: Any, name: str = 'seed', amount: int = 5) -> None:
    """Start a group within the test process, with one changed setting."""
    context.rig = GroupRig(**{name: amount})
    context.add_cleanup(context.rig.close)


@given('a database group that records idle transactions after {limit_ms:d} ms')
def start_group_with_stuck_timeout(context: Any, limit_ms: int) -> None:
    """Start a group with another timeout of idle transactions."""
    context.rig = GroupRig(limit_ms / 1000)
    context.add_cleanup(context.rig.close)


@when('caller "{name}" starts with "{start}" at "{member}"')
def start_caller(context: Any, name: str, start: str, member: str) -> None:
    """Open a connection and send its first line."""
    context.rig.run(context.rig.connect(name, member, start))


async def _connect_times_out(rig: GroupRig, member: str) -> bool:
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            await rig.connect('late', member, 'g1 me')
    except TimeoutError:
        return True
    return False


@then('no caller can connect to "{member}"')
def check_cannot_connect(context: Any, member: str) -> None:
    """Expect a timeout; a refused connection fails the check."""
    assert context.rig.run(_connect_times_out(context.rig, member))


async def _ask(rig: GroupRig, name: str, member: str, request: str) -> None:
    caller = await rig.caller(name, member)
    await caller.ask(request)


async def _send_only(rig: GroupRig, name: str, member: str, line: str) -> None:
    caller = await rig.caller(name, member)
    caller.send(line)


@when('caller "{name}" sends "{request}" to "{member}"')
def send(context: Any, name: str, request: str, member: str) -> None:
    """Send a request and read the answer."""
    context.rig.run(_ask(context.rig, name, member, request))


@when('caller "{name}" sends these requests to "{member}"')
def send_all(context: Any, name: str, member: str) -> None:
    """Send the requests one after another."""
    for request in context.text.split('; '):
        context.rig.run(_ask(context.rig, name, member, request))


@when(
    'caller "{name}" sends "{request}" to "{member}" without reading the answer'
)
def send_only(context: Any, name: str, request: str, member: str) -> None:
    """Send a request without reading the answer."""
    line = request if request == 'TERMINATE' else f'QUERY {request}'
    context.rig.run(_send_only(context.rig, name, member, line))
    context.rig.callers[name].answer = []


@when(
    '{count:d} callers send "{text}" to "{member}" without reading the answers'
)
def send_only_from_many(
    context: Any, count: int, text: str, member: str
) -> None:
    """Open all connections, then send a request on each."""
    for name in range(count):
        context.rig.run(context.rig.caller(str(name), member))
    for number in range(count):
        request = f's{number}.t0.1 {text}'
        send_only(context, str(number), request, member)


async def _answer(rig: GroupRig, name: str, expected: str) -> str:
    caller = rig.callers[name]
    if expected == 'nothing':
        return 'nothing' if await caller.is_quiet() else 'something'
    lines = caller.answer or await caller.read()
    caller.answer = []
    return lines[-1] if expected == 'a part' else '/'.join(lines)


@then('caller "{name}" gets "{expected}"')
def check_answer(context: Any, name: str, expected: str) -> None:
    """Match the last read answer, or the next one, with a pattern."""
    found = context.rig.run(_answer(context.rig, name, expected))
    assert fnmatch.fnmatchcase(found, expected), found


@then('caller "{name}" gets {count:d} pieces that make up "{expected}"')
def check_pieces(context: Any, name: str, count: int, expected: str) -> None:
    """Count the pieces of the next answer and match its text."""
    pieces = context.rig.run(context.rig.callers[name].read_pieces())
    whole = ''.join(pieces).replace('\r\n', '/')
    assert len(pieces) == count, pieces
    assert fnmatch.fnmatchcase(whole, expected), whole


@then('the connection of caller "{name}" is closed')
def check_closed(context: Any, name: str) -> None:
    """Wait until the member closes the connection."""
    assert context.rig.run(context.rig.callers[name].is_closed())


@then(
    'as an answer to "{request_id}" "{text}" without {count:d} rows'
    ' its signature is "{verdict}"'
)
def check_signature(
    context: Any, request_id: str, text: str, count: int, verdict: str
) -> None:
    """Verify the last answer of caller "a" as the answer to a request."""
    *rows, complete, _ = context.rig.callers['a'].answer
    contents = [row.removeprefix('DATAROW ') for row in rows]
    signature = complete.removeprefix('COMPLETE ')
    kept = contents[: len(contents) - count]
    is_right = is_answer_to(
        request_id, text, _PREPARED_STATEMENTS, kept, signature
    )
    assert is_right == (verdict == 'right')


@when('the fault "{kind}" is set at "{members}"')
@when('the fault "{kind}" is set at "{members}" for {for_s:d} s')
def set_fault(context: Any, kind: str, members: str, for_s: int = 600) -> None:
    """Start a fault at each of the members, by default for 600 s."""
    for member in members.split():
        call = {'kind': kind, 'member_id': member, 'for_s': for_s}
        answer = context.rig.run(context.rig.call('/fault', **call))
        assert answer['status'] == 200, answer


@when('"{member}" is drained for {for_s:d} s and replaced')
def replace(context: Any, member: str, for_s: int) -> None:
    """Drain a member; a new one starts at its address at once."""
    call = {'kind': 'drain', 'member_id': member, 'replace_after_s': 0}
    context.rig.run(context.rig.call('/fault', for_s=for_s, **call))


@when('"{member}" is replaced after {overlap_s:d} s and drains for {for_s:d} s')
def replace_by_new(
    context: Any, member: str, overlap_s: int, for_s: int
) -> None:
    """Start a new member at another address, then drain the old one."""
    call = {'kind': 'replace', 'member_id': member, 'overlap_s': overlap_s}
    context.rig.run(context.rig.call('/fault', for_s=for_s, **call))


@when('{count:d} connections of "{member}" are occupied')
def occupy(context: Any, count: int, member: str) -> None:
    """Let other programs hold connections of a member."""
    call = {'kind': 'occupied', 'member_id': member, 'ratio': count}
    context.rig.run(context.rig.call('/fault', **call))


@when('"{member}" is promoted')
def promote(context: Any, member: str) -> None:
    """Promote a member and keep the response."""
    context.promotion = context.rig.run(
        context.rig.call('/promote', member_id=member)
    )


@then('the promotion returns term {term:d}')
def check_term(context: Any, term: int) -> None:
    """Check the term in the response."""
    assert context.promotion == {'term': term, 'status': 200}


@then('the promotion is refused')
def check_refused(context: Any) -> None:
    """Check the status of the response."""
    assert context.promotion['status'] == 409


def _committed_ids(report: Any) -> str:
    return ' '.join(each['request_id'] for each in report['commits'])


def _rules(report: Any) -> str:
    return ' '.join(each['rule'] for each in report['violations'])


@then('the group has committed "{expected}"')
@then('the group has committed ""')
def check_committed(context: Any, expected: str = '') -> None:
    """Compare the request ids of the committed writes."""
    report = context.rig.run(context.rig.call('/report'))
    assert _committed_ids(report) == expected, report


@then('the group records "{rule}"')
@then('the group records ""')
def check_rule(context: Any, rule: str = '') -> None:
    """Compare the rules of the recorded violations."""
    report = context.rig.run(context.rig.call('/report'))
    assert _rules(report) == rule, report


def _shows_status(report: Any, member: str, expected: str) -> bool:
    return any(
        each['member_id'] == member
        and fnmatch.fnmatchcase(each['status'], expected)
        for each in report['members']
    )


def _registration(rig: GroupRig, member: str) -> str:
    row = rig.rows.get(member)
    fields = ('service', 'zone', 'state', 'db_role')
    return ' '.join(row[each] for each in fields) if row else 'nothing'


def _await_report(context: Any, is_expected: Callable[[Any], bool]) -> None:
    context.rig.run(context.rig.await_report(is_expected))


@then('the group eventually has committed "{expected}"')
@then('the group eventually has committed ""')
def await_committed(context: Any, expected: str = '') -> None:
    """Wait until the committed writes match."""
    _await_report(context, lambda report: _committed_ids(report) == expected)


@then('the group eventually records "{rule}"')
def await_rule(context: Any, rule: str) -> None:
    """Wait until the violations match."""
    _await_report(context, lambda report: _rules(report) == rule)


@then('member "{member}" eventually reports "{expected}"')
def await_status(context: Any, member: str, expected: str) -> None:
    """Wait until the status of the member matches."""
    _await_report(
        context, lambda report: _shows_status(report, member, expected)
    )


@then('the members are eventually "{expected}"')
def await_members(context: Any, expected: str) -> None:
    """Wait until the group has these members."""
    _await_report(
        context,
        lambda report: (
            [each['member_id'] for each in report['members']]
            == expected.split()
        ),
    )


@then(
    'the promotion of "{member}" lost "{commit}", received by "{receiver}" '
    'and held by "{holder}"'
)
def check_lost(
    context: Any, member: str, commit: str, receiver: str, holder: str
) -> None:
    """Compare the only promotion and the only commit that it lost."""
    report = context.rig.run(context.rig.call('/report'))
    promotion = report['promotions'][0]
    lost = promotion['lost'][0]
    assert promotion['call']['member_id'] == member, promotion
    found = ' '.join((lost['position'], *lost['request_ids']))
    assert (found, lost['primary_id']) == (commit, 'm1'), lost
    assert receiver in lost['receiver_ids'], lost
    assert lost['holder_ids'] == [holder], lost


@then('the store eventually holds "{member}" as "{expected}"')
def await_row(context: Any, member: str, expected: str) -> None:
    """Wait until the registration of the member matches."""
    _await_report(
        context, lambda _: _registration(context.rig, member) == expected
    )


@given('the process of a database group')
def prepare_process(context: Any) -> None:
    """Write the settings file of the process."""
    addresses = free_addresses(2)
    settings = build_settings(*addresses)
    context.ports = ports_of(settings)
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.path = pathlib.Path(context.folder.name) / 'settings.json'
    context.path.write_text(json.dumps(encode(settings)), encoding='utf-8')
    context.ready_url = f'http://{addresses[0]}/report'


async def _use_client(context: Any, member: str) -> None:
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
        dialer = WireMemberDialer(TIMEOUT_S, TIMEOUT_S)
        link = await dialer.dial(record)
        context.status = await link.status(TIMEOUT_S)
        context.begun = await link.begin(Begin(False), None, TIMEOUT_S)
        link.close()


@when('the hosts\' client connects to "{member}"')
def use_client(context: Any, member: str) -> None:
    """Start the process, read the status and begin a transaction."""
    asyncio.run(_use_client(context, member))


@then('the member reports that it is the primary at {term:d}.{number:d}')
def check_status(context: Any, term: int, number: int) -> None:
    """Compare the status that the client read."""
    position = LogPosition(term, number)
    assert context.status == MemberStatus(True, term, position, 0)


@then('the begin of a transaction is completed')
def check_begun(context: Any) -> None:
    """Check the answer to the begin."""
    assert isinstance(context.begun, Completed), context.begun
