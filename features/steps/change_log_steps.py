"""Steps of change_log.feature."""

from collections.abc import Mapping
from typing import Any

import attrs
from behave import given, step, then
from loguru import logger

from features.group_builders import build_record


@given('log lines are recorded')
def record_lines(context: Any) -> None:
    """Keep the records of all log lines from here on."""
    context.records = []
    sink = logger.add(lambda line: context.records.append(line.record), level=0)
    context.add_cleanup(logger.remove, sink)


@step('the registration of a has start {born}')
def register(context: Any, born: str) -> None:
    """Apply a registration of a, beside those of the others."""
    born_ms = None if born == 'unknown' else int(born)
    record = attrs.evolve(build_record('a'), born_ms=born_ms)
    context.world.directory.apply_registrations(
        [build_record('p', reports_primary=True), record, build_record('b')]
    )


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
