"""Steps of change_log.feature."""

import re
from collections.abc import Mapping
from typing import Any, Final

import attrs
from behave import given, step, then, when
from loguru import logger

from features.group_builders import build_record, record_all_witnesses
from mimosapond.boot_clock import boot_time_s
from mimosapond.groups.log_position import LogPosition

_FIRST_OF_NEXT_TERM: Final = LogPosition(2, 101)


@given('log lines are recorded')
def record_lines(context: Any) -> None:
    """Keep the records of all log lines from here on."""
    context.records = []
    sink = logger.add(lambda line: context.records.append(line.record), level=0)
    context.add_cleanup(logger.remove, sink)


@given('member p started at {p_ms:d} and member a at {a_ms:d}')
def set_starts(context: Any, p_ms: int, a_ms: int) -> None:
    """Set the starts of the processes."""
    for name, born_ms in (('p', p_ms), ('a', a_ms)):
        member = context.world.group.members[name]
        member.record = attrs.evolve(member.record, born_ms=born_ms)
    record_all_witnesses(context.world.directory)


@step('the registration of a has start {born}')
def register(context: Any, born: str) -> None:
    """Apply a registration of a, beside those of the others."""
    born_ms = None if born == 'unknown' else int(born)
    record = attrs.evolve(build_record('a'), born_ms=born_ms)
    context.world.directory.apply_registrations(
        [build_record('p', reports_primary=True), record, build_record('b')]
    )


@given('p is known to be unreachable')
def time_out(context: Any) -> None:
    """Let connections to p fail, later than the answer is awaited."""
    world = context.world
    world.fakes['p'].is_silent = True
    world.fakes['p'].connect_delay_s = 0.3
    world.group.members['p'].load.is_unreachable = True


@when('this host acknowledges {count:d} commits of p without a replica')
def acknowledge(context: Any, count: int) -> None:
    """Record commits from 1.1 on."""
    group = context.world.group
    process = group.members['p'].record.process
    for number in range(1, count + 1):
        group.acknowledgements.add(LogPosition(1, number), process, None)


@when('this host finds that {name} leads')
def find_primary(context: Any, name: str) -> None:
    """Confirm another primary."""
    group = context.world.group
    group.confirm_primary(
        group.members[name], boot_time_s(), _FIRST_OF_NEXT_TERM
    )


@then('the line {event} has {fields}')
def check_line(context: Any, event: str, fields: str) -> None:
    """Compare fields of the only line of an event."""
    lines = _lines(context, event)
    assert len(lines) == 1, context.records
    context.line = lines[0]
    for field in fields.split(' and '):
        name, _, expected = field.partition(' ')
        assert str(context.line[name]) == expected, context.line


@then('its commits went {path} at {positions}')
def check_commits(context: Any, path: str, positions: str) -> None:
    """Compare the first and the last position that a process witnessed."""
    assert list(context.line['commits']) == [path], context.line
    entries = context.line['commits'][path]
    assert all(re.fullmatch(r'\d+\.\d+ \d+', each) for each in entries), entries
    first, _, last = positions.partition(' to ')
    assert entries[0].split(' ')[0] == first, entries
    assert entries[-1].split(' ')[0] == (last or first), entries


@then('it says for {name}: {pattern}')
def check_text(context: Any, name: str, pattern: str) -> None:
    """Match the text on a member with a regular expression."""
    texts: dict[str, str] = {}
    for each in context.line.values():
        texts.update(each if isinstance(each, Mapping) else {})
    assert re.fullmatch(pattern, texts[f'{name}@0']), texts


@then('the lines with token {token:d} are {events}')
def check_order(context: Any, token: int, events: str) -> None:
    """Compare the events of a change in their order."""
    found = [
        record['message']
        for record in context.records
        if record['extra'].get('token') == token
    ]
    assert ', '.join(found) == events, found


@then('there {verb} {count} {noun} {event}')
def check_count(
    context: Any, verb: str, count: str, noun: str, event: str
) -> None:
    """Count the lines of an event."""
    expected = 0 if count == 'no' else int(count)
    assert len(_lines(context, event)) == expected, context.records


def _lines(context: Any, event: str) -> list[Mapping[str, Any]]:
    return [
        record['extra']
        for record in context.records
        if record['message'] == event
    ]
