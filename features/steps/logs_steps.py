"""Steps of logs.feature."""

import datetime
import io
import json
from typing import Any

from behave import then, when
from loguru import logger

from features.product_builders import (
    OPERATOR_SECRET,
    PEER_SECRET,
    ROOT,
    build_settings_text,
)
from mimosapond.log_setup import set_up_logging
from mimosapond.options import Options
from mimosapond.settings_loader import parse_settings


def start_log(context: Any, level: str = 'INFO') -> None:
    """Send log lines to a buffer until the scenario ends."""
    text = build_settings_text(f'log_level: {level}')
    options = parse_settings(text, ROOT, {})
    assert isinstance(options, Options), options
    context.stream = io.StringIO()
    set_up_logging(options, context.stream)
    context.add_cleanup(logger.remove)


def parse_only_line(context: Any) -> Any:
    """Return the fields of the line, if exactly one was written."""
    lines = context.stream.getvalue().splitlines()
    assert len(lines) == 1, lines
    return json.loads(lines[0])


@when('a log line is written with nested fields, a reserved name and secrets')
def write_nested(context: Any) -> None:
    """Write a line with nested, reserved and secret fields."""
    start_log(context)
    logger.bind(
        figures={'wait_ms': 3, 'peer_secret': 'short'},
        level='bound',
        header=f'sent {OPERATOR_SECRET}',
    ).info('with {braces} and "quotes"')


@then('the log line is flat, complete and contains no secret')
def check_flat(context: Any) -> None:
    """Check the time zone and compare all other fields."""
    fields = parse_only_line(context)
    written_at = datetime.datetime.fromisoformat(fields.pop('time'))
    assert written_at.tzinfo is not None, written_at
    assert fields == {
        'level': 'INFO',
        'event': 'with {braces} and "quotes"',
        'figures.wait_ms': 3,
        'figures.peer_secret': '***',
        'field_level': 'bound',
        'header': 'sent ***',
    }, fields


@when('a log line is written for an exception near a secret')
def write_exception(context: Any) -> None:
    """Log an exception with a secret in its message and a local variable."""
    start_log(context)
    secret = PEER_SECRET
    with logger.catch(message='call_failed'):
        raise ValueError(f'bad header {secret}')


@then('the log line names the exception and contains no secret')
def check_exception(context: Any) -> None:
    """Check for the exception's type and for the secret."""
    fields = parse_only_line(context)
    assert 'ValueError: bad header ***' in fields['exception'], fields
    assert PEER_SECRET not in context.stream.getvalue()


@when('log lines are written at level WARNING and INFO with level "{level}"')
def write_levels(context: Any, level: str) -> None:
    """Write one line at each of the two levels."""
    start_log(context, level)
    logger.warning('kept')
    logger.info('dropped')


@then('only the log line at level WARNING is written')
def check_level(context: Any) -> None:
    """Check the level of the only line."""
    fields = parse_only_line(context)
    assert fields['level'] == 'WARNING', fields
